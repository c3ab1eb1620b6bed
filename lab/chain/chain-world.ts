/**
 * Simulation of a chain of services on virtual time: the real choice, forwarding and admission of the daemons, over
 * simulated links and back ends. It shows the combined effect of the decisions of many daemons when the runs of one
 * service call the next one.
 */
import { makeSettings } from './chain-settings.js';
import type { ChainSpec } from './chain-spec.js';
import { ChainDaemon } from './chain-daemon.js';
import { ChainCaller } from './chain-caller.js';
import { chainRuntime, type ChainTime } from './chain-time.js';
import { ChainReport } from './chain-report.js';
import { EventQueue } from '../sim/event-queue.js';
import { Random } from '../random.js';

/** Time in ms after the end of the traffic in which the remaining requests end. */
const RUN_OUT_MS = 6_000;

/** Simulates a chain; the same seed gives the same result. */
export function playChain(spec: ChainSpec, seed: number): ChainReport {
  const queue = new EventQueue();
  const random = new Random(seed);
  const time: ChainTime = { queue, runtime: chainRuntime(queue, random) };
  const report = new ChainReport(spec);
  const daemons = new Map<string, ChainDaemon>();
  const settings = makeSettings(spec);
  for (const place of settings.machines) {
    daemons.set(place.id, new ChainDaemon(place, { spec, time, random, settings, daemons, report }));
  }
  const caller = new ChainCaller({ spec, time, random, daemons: [...daemons.values()], report });
  caller.start();
  while (queue.runNext(spec.lengthMs + RUN_OUT_MS));
  return report;
}
