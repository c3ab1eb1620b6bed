/** Seeds of the soak that failed once, and why. All are played again by `aldertide-lab soak --regressions`. */

/** A seed that failed. */
export interface SoakRegression {
  readonly seed: number;
  readonly symptom: string;
  readonly cause: string;
}

/** All of them. */
export const SOAK_REGRESSIONS: readonly SoakRegression[] = [];
