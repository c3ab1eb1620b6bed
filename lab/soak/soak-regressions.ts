/** Soak seeds that failed before, with their causes. `aldertide-lab soak --regressions` plays all of them again. */

/** A seed that failed, with its symptom and cause. */
export interface SoakRegression {
  readonly seed: number;
  readonly symptom: string;
  readonly cause: string;
}

/** All recorded regressions. */
export const SOAK_REGRESSIONS: readonly SoakRegression[] = [];
