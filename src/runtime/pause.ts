/** A wait on the clock of a runtime. */
import type { Runtime } from './runtime.js';

/** Resolves after a time in ms. */
export async function pause(runtime: Pick<Runtime, 'after'>, ms: number): Promise<void> {
  await new Promise<void>((resolve) => {
    runtime.after(ms, resolve);
  });
}
