/**
 * Sets of task indexes as sorted, disjoint ranges. A job whose tasks end in order needs one range, whatever its size.
 */
import type { IndexRange } from "./types.js";

/** Returns the ranges of the given indexes, which may be unsorted and repeated. */
export function toIndexRanges(indexes: readonly number[]): IndexRange[] {
    return mergeIndexRanges([], indexes.map(index => [index, index]));
}

/** Returns the union of two sets of ranges. */
export function mergeIndexRanges(first: readonly IndexRange[], second: readonly IndexRange[]): IndexRange[] {
    const sorted = [...first, ...second].sort(([firstStart], [secondStart]) => firstStart - secondStart);
    const merged: [number, number][] = [];
    for (const [start, end] of sorted) {
        const last = merged.at(-1);
        if (last !== undefined && start <= last[1] + 1) {
            last[1] = Math.max(last[1], end);
        }
        else {
            merged.push([start, end]);
        }
    }
    return merged;
}

/** Returns `first` without the indexes of `second`. */
export function subtractIndexRanges(first: readonly IndexRange[], second: readonly IndexRange[]): IndexRange[] {
    let rest = mergeIndexRanges(first, []);
    for (const [start, end] of second) {
        rest = rest.flatMap(([from, to]): IndexRange[] => {
            if (to < start || from > end) {
                return [[from, to]];
            }
            const parts: IndexRange[] = [[from, start - 1], [end + 1, to]];
            return parts.filter(([partStart, partEnd]) => partStart <= partEnd);
        });
    }
    return rest;
}

/** Returns whether the ranges contain an index. */
export function hasIndex(ranges: readonly IndexRange[], index: number): boolean {
    return ranges.some(([first, last]) => first <= index && index <= last);
}

/** Returns the number of indexes in the ranges. */
export function countIndexes(ranges: readonly IndexRange[]): number {
    return ranges.reduce((sum, [first, last]) => sum + last - first + 1, 0);
}
