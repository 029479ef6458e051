/**
 * An index from a field's value to the names of the resources that have it.
 */

/** Maps each value to a set of names. */
export class NameIndex {
    private readonly namesByValue = new Map<string, Set<string>>();

    add(value: string, name: string): void {
        const names = this.namesByValue.get(value) ?? new Set();
        this.namesByValue.set(value, names.add(name));
    }

    remove(value: string, name: string): void {
        const names = this.namesByValue.get(value);
        names?.delete(name);
        if (names?.size === 0) {
            this.namesByValue.delete(value);
        }
    }

    has(value: string): boolean {
        return this.namesByValue.has(value);
    }

    list(value: string): readonly string[] {
        return [...this.namesByValue.get(value) ?? []];
    }
}
