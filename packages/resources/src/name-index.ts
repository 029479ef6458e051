/**
 * Index from the value of a field to the names of the resources with that value.
 */

/** Maps each value of a field to a set of resource names. */
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
