/** Exposes counters, which daemons maintain as plain numbers, as Prometheus metrics. */
import { collectDefaultMetrics, Gauge, Registry } from 'prom-client';

/** Reads the present value of a metric. */
export type ReadValue = () => number;

/** Creates a registry that contains Node's process metrics. */
export function createRegistry(): Registry {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  return registry;
}

/** Adds a gauge whose value is read on each scrape. */
export function exposeValue(registry: Registry, name: string, help: string, read: ReadValue): void {
  registry.registerMetric(
    new Gauge({
      name: `aldertide_${name}`,
      help,
      registers: [],
      collect() {
        this.set(read());
      },
    }),
  );
}

/** Adds a family of gauges with one label, whose values are read on each scrape. */
export function exposeFamily(
  registry: Registry,
  name: string,
  help: string,
  label: string,
  read: () => Iterable<readonly [string, number]>,
): void {
  registry.registerMetric(
    new Gauge({
      name: `aldertide_${name}`,
      help,
      labelNames: [label],
      registers: [],
      collect() {
        this.reset();
        for (const [value, count] of read()) this.set({ [label]: value }, count);
      },
    }),
  );
}
