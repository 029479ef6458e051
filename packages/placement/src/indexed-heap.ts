/**
 * A binary heap whose items store their position, so that an item whose key changed can be moved or removed in
 * logarithmic time.
 */

/** An item of at most one heap at a time. */
export interface HeapItem {
    /** Position in the heap, or -1 while the item is in no heap. Only the heap writes it. */
    heapIndex: number;
}

/** A heap with the smallest item, by `isBefore`, at the top. */
export class IndexedHeap<T extends HeapItem> {
    private readonly items: T[] = [];
    private readonly isBefore: (first: T, second: T) => boolean;

    constructor(isBefore: (first: T, second: T) => boolean) {
        this.isBefore = isBefore;
    }

    get size(): number {
        return this.items.length;
    }

    /** Returns the smallest item, or `undefined` if the heap is empty. */
    getFirst(): T | undefined {
        return this.items[0];
    }

    /** Returns up to `count` items from `position` modulo the size. Position 0 is the top; the others are unordered. */
    listFrom(position: number, count: number): readonly T[] {
        if (this.items.length === 0) {
            return [];
        }
        const start = position % this.items.length;
        return this.items.slice(start, start + count);
    }

    push(item: T): void {
        item.heapIndex = this.items.length;
        this.items.push(item);
        this.moveUp(item.heapIndex);
    }

    /** Moves an item to its place after its key changed. */
    update(item: T): void {
        this.moveUp(item.heapIndex);
        this.moveDown(item.heapIndex);
    }

    /** Removes an item; does nothing if it is in no heap. */
    remove(item: T): void {
        const index = item.heapIndex;
        if (index < 0) {
            return;
        }
        const last = this.items.pop();
        item.heapIndex = -1;
        if (last !== undefined && last !== item) {
            this.items[index] = last;
            last.heapIndex = index;
            this.update(last);
        }
    }

    private moveUp(start: number): void {
        let index = start;
        while (index > 0) {
            const parent = index - 1 >> 1;
            if (!this.isBefore(this.items[index] as T, this.items[parent] as T)) {
                return;
            }
            this.swapItems(index, parent);
            index = parent;
        }
    }

    private moveDown(start: number): void {
        let index = start;
        for (;;) {
            let child = 2 * index + 1;
            if (child >= this.items.length) {
                return;
            }
            if (child + 1 < this.items.length && this.isBefore(this.items[child + 1] as T, this.items[child] as T)) {
                child++;
            }
            if (!this.isBefore(this.items[child] as T, this.items[index] as T)) {
                return;
            }
            this.swapItems(index, child);
            index = child;
        }
    }

    private swapItems(first: number, second: number): void {
        const item = this.items[first] as T;
        const other = this.items[second] as T;
        this.items[first] = other;
        this.items[second] = item;
        other.heapIndex = first;
        item.heapIndex = second;
    }
}
