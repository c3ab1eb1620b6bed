/** Waiting in the lab, on the machine's own time. */

/** Resolves after `ms`. */
export async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}
