/**
 * Sets of task indexes as sorted, disjoint ranges. A job whose tasks end in order needs one range, however many tasks
 * it has.
 */
import type { IndexRange } from "./types.js";

/** Returns the ranges of the given indexes, which may be unsorted and may repeat. */
export function toIndexRanges(indexes: readonly number[]): IndexRange[] {
    return normalizeIndexRanges(indexes.map(index => [index, index]));
}

/** Returns sorted, disjoint ranges with the same indexes as the given ones. */
export function normalizeIndexRanges(ranges: readonly IndexRange[]): IndexRange[] {
    return mergeIndexRanges([...ranges].sort(([first], [second]) => first - second), []);
}

/** Returns the union of two sorted lists of ranges, in time proportional to the sum of their lengths. */
export function mergeIndexRanges(first: readonly IndexRange[], second: readonly IndexRange[]): IndexRange[] {
    const merged: IndexRange[] = [];
    let firstPosition = 0;
    let secondPosition = 0;
    for (;;) {
        const left = first[firstPosition];
        const right = second[secondPosition];
        const next = right === undefined || left !== undefined && left[0] <= right[0] ? left : right;
        if (next === undefined) {
            return merged;
        }
        if (next === left) {
            firstPosition++;
        }
        else {
            secondPosition++;
        }
        const last = merged.at(-1);
        if (last !== undefined && next[0] <= last[1] + 1) {
            merged[merged.length - 1] = [last[0], Math.max(last[1], next[1])];
        }
        else {
            merged.push(next);
        }
    }
}

/** Returns `first` without the indexes of `second`; both are sorted and disjoint. */
export function subtractIndexRanges(first: readonly IndexRange[], second: readonly IndexRange[]): IndexRange[] {
    const remaining: IndexRange[] = [];
    let position = findRangePosition(second, first[0]?.[0] ?? 0);
    for (const [start, end] of first) {
        let remainingStart = start;
        for (let removed = second[position]; removed !== undefined && removed[0] <= end; removed = second[position]) {
            if (removed[0] > remainingStart) {
                remaining.push([remainingStart, removed[0] - 1]);
            }
            remainingStart = Math.max(remainingStart, removed[1] + 1);
            if (removed[1] > end) {
                break;
            }
            position++;
        }
        if (remainingStart <= end) {
            remaining.push([remainingStart, end]);
        }
    }
    return remaining;
}

/** Returns the position of the first of sorted, disjoint ranges that ends at or after `index`, or their number. */
function findRangePosition(ranges: readonly IndexRange[], index: number): number {
    let low = 0;
    let high = ranges.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if ((ranges[middle]?.[1] ?? 0) < index) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/** Returns whether sorted, disjoint ranges contain an index, by binary search. */
export function hasIndex(ranges: readonly IndexRange[], index: number): boolean {
    const range = ranges[findRangePosition(ranges, index)];
    return range !== undefined && range[0] <= index;
}

/** Returns the number of indexes in the ranges. */
export function countIndexes(ranges: readonly IndexRange[]): number {
    return ranges.reduce((sum, [first, last]) => sum + last - first + 1, 0);
}
