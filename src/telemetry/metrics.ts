/** Prometheus metrics from counters that the daemons keep as plain numbers. */
import { collectDefaultMetrics, Gauge, Registry } from 'prom-client';

/** Reads one value. */
export type ReadValue = () => number;

/** A registry with the process metrics of Node. */
export function createRegistry(): Registry {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  return registry;
}

/** Adds a value that is read when the metrics are asked for. */
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

/** Adds a family of values with one label. */
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
