/** Delays in the lab, in real time. */

/** Resolves after `ms` milliseconds. */
export async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}
