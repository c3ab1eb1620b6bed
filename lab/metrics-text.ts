/** Reads values out of the Prometheus text that daemons serve. */

/** Value of a metric without labels; 0 where there is none. */
export function metricValue(text: string, name: string): number {
  return Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1] ?? 0);
}
