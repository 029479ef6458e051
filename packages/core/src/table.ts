/**
 * Tables of entities. The systems of the scheduler process the rows of tables in each tick.
 */

/** Rows by id, in insertion order. */
export class Table<Key extends string, Row> {
    private readonly rows = new Map<Key, Row>();

    get size(): number {
        return this.rows.size;
    }

    /** Returns the row of an id, or `undefined` if there is none. */
    get(key: Key): Row | undefined {
        return this.rows.get(key);
    }

    has(key: Key): boolean {
        return this.rows.has(key);
    }

    /** Adds or replaces a row. */
    set(key: Key, row: Row): void {
        this.rows.set(key, row);
    }

    /** Removes a row and returns whether it existed. */
    delete(key: Key): boolean {
        return this.rows.delete(key);
    }

    /** Returns the row of an id. If there is none, adds the one that `create` returns. */
    ensure(key: Key, create: () => Row): Row {
        const existing = this.rows.get(key);
        if (existing !== undefined) {
            return existing;
        }
        const row = create();
        this.rows.set(key, row);
        return row;
    }

    keys(): IterableIterator<Key> {
        return this.rows.keys();
    }

    values(): IterableIterator<Row> {
        return this.rows.values();
    }

    entries(): IterableIterator<[Key, Row]> {
        return this.rows.entries();
    }

    clear(): void {
        this.rows.clear();
    }
}
