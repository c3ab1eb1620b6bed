/** Promises with delays and time limits on the clock of a runtime. */
import type { Runtime } from './runtime.js';

/** Resolves after `ms`. */
export async function pause(runtime: Pick<Runtime, 'after'>, ms: number): Promise<void> {
  await new Promise<void>((resolve) => {
    runtime.after(ms, resolve);
  });
}

/** Resolves with the value of a promise, or with null if it takes longer than `ms`. */
export async function withTimeout<T>(
  runtime: Pick<Runtime, 'after'>,
  promise: Promise<T>,
  ms: number,
): Promise<T | null> {
  return await new Promise((resolve, reject) => {
    const cancel = runtime.after(ms, () => {
      resolve(null);
    });
    promise.then((value) => {
      cancel();
      resolve(value);
    }, reject);
  });
}
