/** Prometheus metrics of the daemons on a platform, served over HTTP; loaded only if the settings name an endpoint. */
import { createServer, type Server } from 'node:http';
import { Histogram, Registry } from 'prom-client';
import type { SocketAddress } from '../model/socket-address.js';
import { Err, Ok, type Result } from '../result.js';
import type { Latencies, LatencyStage } from './latencies.js';
import { exposeFamily, exposeLabeled, exposeValue, type LabeledValues, type ReadValue } from './metrics.js';

/** Upper bounds of the buckets of latency histograms, in seconds. */
const BUCKETS_S = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

const MS_PER_SECOND = 1_000;
const NOT_FOUND = 404;

/** Metrics of one daemon. */
export class DaemonMetrics implements Latencies {
  private readonly registry = new Registry();
  private readonly latencies = new Histogram({
    name: 'aldertide_latency_seconds',
    help: 'Time of the stages of requests, by service',
    labelNames: ['stage', 'service'],
    buckets: BUCKETS_S,
    registers: [this.registry],
  });

  /** Adds a gauge whose value is read on each scrape. */
  value(name: string, help: string, read: ReadValue): void {
    exposeValue(this.registry, name, help, read);
  }

  /** Adds a family of gauges with one label, whose values are read on each scrape. */
  family(name: string, help: string, label: string, read: () => Iterable<readonly [string, number]>): void {
    exposeFamily(this.registry, name, help, label, read);
  }

  /** Adds a family of gauges with several labels, whose values are read on each scrape. */
  labeled(name: string, help: string, labels: readonly string[], read: () => LabeledValues): void {
    exposeLabeled(this.registry, name, help, labels, read);
  }

  /** See `Latencies`. */
  observe(stage: LatencyStage, service: string, ms: number): void {
    this.latencies.observe({ stage, service }, ms / MS_PER_SECOND);
  }

  /** Returns the metrics in the Prometheus text format. */
  async text(): Promise<string> {
    return await this.registry.metrics();
  }

  /** Serves the metrics at one path of an address. */
  async serve(address: SocketAddress, path: string): Promise<Result<Server, string>> {
    const server = createServer((request, response) => {
      if (request.url?.split('?', 1)[0] !== path) {
        response.writeHead(NOT_FOUND).end();
        return;
      }
      void this.text().then((text) => {
        response.writeHead(200, { 'content-type': this.registry.contentType }).end(text);
      });
    });
    return await new Promise((resolve) => {
      server.once('error', (error) => {
        resolve(Err(`cannot listen on ${address.host}:${address.port}: ${error.message}`));
      });
      server.listen(address.port, address.host, () => {
        resolve(Ok(server));
      });
    });
  }
}
