/** Waits on the clock of a runtime. */
import type { Runtime } from './runtime.js';

/** Resolves after a time in ms. */
export async function pause(runtime: Pick<Runtime, 'after'>, ms: number): Promise<void> {
  await new Promise<void>((resolve) => {
    runtime.after(ms, resolve);
  });
}

/** What a promise resolves with within a time in ms; null when that takes longer. */
export async function within<T>(
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
