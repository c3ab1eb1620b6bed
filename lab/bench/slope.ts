/** A cost at several sizes, and the straight line through it. */

/** One measured point. */
export interface SlopePoint {
  readonly size: number;
  readonly value: number;
}

/** A straight line by least squares. */
export interface Slope {
  readonly perUnit: number;
  readonly base: number;
  /** Largest distance of a point from the line, as a part of the point's value. */
  readonly spread: number;
  readonly points: readonly SlopePoint[];
}

/** Fits a line through points; two sizes at least must differ. */
export function fitSlope(points: readonly SlopePoint[]): Slope {
  const meanSize = mean(points.map(({ size }) => size));
  const meanValue = mean(points.map(({ value }) => value));
  const covariance = mean(points.map(({ size, value }) => (size - meanSize) * (value - meanValue)));
  const variance = mean(points.map(({ size }) => (size - meanSize) ** 2));
  const perUnit = covariance / variance;
  const base = meanValue - perUnit * meanSize;
  const distances = points.map(
    ({ size, value }) => Math.abs(base + perUnit * size - value) / Math.abs(value),
  );
  return { perUnit, base, spread: Math.max(...distances), points };
}

/** Middle of several values: the usual cost where single runs are disturbed. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
