/** Reads values from the Prometheus text that daemons serve. */

/** Returns the value of a metric without labels, or 0 if it is missing. */
export function metricValue(text: string, name: string): number {
  return Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1] ?? 0);
}
