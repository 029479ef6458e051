/**
 * Least squares fit of a line.
 */

export interface FittedLine {
    readonly slope: number;
    readonly intercept: number;
    /** Coefficient of determination: 1 when all points are on the line, near 0 when the line explains nothing. */
    readonly determination: number;
}

export interface Point {
    readonly x: number;
    readonly y: number;
}

/** Fits a line to points; throws for fewer than two different values of `x`. */
export function computeFit(points: readonly Point[]): FittedLine {
    const meanX = aggregateMean(points.map(point => point.x));
    const meanY = aggregateMean(points.map(point => point.y));
    const spreadX = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
    if (spreadX === 0) {
        throw new Error(`a line needs two different sizes, got ${points.length} points of one size`);
    }
    const slope = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0) / spreadX;
    const intercept = meanY - slope * meanX;
    const spreadY = points.reduce((sum, { y }) => sum + (y - meanY) ** 2, 0);
    const rest = points.reduce((sum, { x, y }) => sum + (y - intercept - slope * x) ** 2, 0);
    return { slope, intercept, determination: spreadY === 0 ? 1 : 1 - rest / spreadY };
}

function aggregateMean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
