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

/** Values of a metric with several labels: the values of the labels in order, then the number. */
export type LabeledValues = Iterable<readonly [labels: readonly string[], value: number]>;

/** Adds a family of gauges with several labels, whose values are read on each scrape. */
export function exposeLabeled(
  registry: Registry,
  name: string,
  help: string,
  labels: readonly string[],
  read: () => LabeledValues,
): void {
  registry.registerMetric(
    new Gauge({
      name: `aldertide_${name}`,
      help,
      labelNames: labels,
      registers: [],
      collect() {
        this.reset();
        for (const [values, count] of read()) this.labels(...values).set(count);
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
  exposeLabeled(registry, name, help, [label], () =>
    Array.from(read(), ([value, count]) => [[value], count] as const),
  );
}
