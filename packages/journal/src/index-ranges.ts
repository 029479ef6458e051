/**
 * Sets of task indexes as sorted, disjoint ranges. A job whose tasks end in order needs one range, whatever its size.
 */
import type { IndexRange } from "./types.js";

/** Returns the ranges of the given indexes, which may be unsorted and repeated. */
export function toIndexRanges(indexes: readonly number[]): IndexRange[] {
    return normalizeIndexRanges(indexes.map(index => [index, index]));
}

/** Returns sorted, disjoint ranges with the same indexes. */
export function normalizeIndexRanges(ranges: readonly IndexRange[]): IndexRange[] {
    return mergeIndexRanges([...ranges].sort(([first], [second]) => first - second), []);
}

/** Returns the union of two sorted lists of ranges, in time proportional to their lengths. */
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
    const rest: IndexRange[] = [];
    let position = findRange(second, first[0]?.[0] ?? 0);
    for (const [start, end] of first) {
        let from = start;
        for (let removed = second[position]; removed !== undefined && removed[0] <= end; removed = second[position]) {
            if (removed[0] > from) {
                rest.push([from, removed[0] - 1]);
            }
            from = Math.max(from, removed[1] + 1);
            if (removed[1] > end) {
                break;
            }
            position++;
        }
        if (from <= end) {
            rest.push([from, end]);
        }
    }
    return rest;
}

/** Returns the position of the first of sorted, disjoint ranges that ends at or after `index`. */
function findRange(ranges: readonly IndexRange[], index: number): number {
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

/** Returns whether sorted, disjoint ranges contain an index. */
export function hasIndex(ranges: readonly IndexRange[], index: number): boolean {
    const range = ranges[findRange(ranges, index)];
    return range !== undefined && range[0] <= index;
}

/** Returns the number of indexes in the ranges. */
export function countIndexes(ranges: readonly IndexRange[]): number {
    return ranges.reduce((sum, [first, last]) => sum + last - first + 1, 0);
}
