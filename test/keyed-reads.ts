/** Reads of a keyed service in a simulated fleet. */
import { FLEET_READY_MS } from '../lab/sim/fleet/fleet-world.js';
import type { FleetTraffic } from '../lab/sim/fleet/fleet-spec.js';

const KEYS = 65_536;

/** Multiplier that spreads consecutive request numbers over the keys. */
const KEY_STEP = 7_919;

/** Returns reads of a service that go over all its keys, retried once. */
export function keyedReads(
  service: string,
  { meanIntervalMs, workMs }: Pick<FleetTraffic, 'meanIntervalMs' | 'workMs'>,
): FleetTraffic {
  return {
    name: 'reads',
    service,
    method: 'GET',
    path: (number) => `/reads/${number}`,
    key: (number) => (number * KEY_STEP) % KEYS,
    meanIntervalMs,
    startMs: FLEET_READY_MS,
    deadlineMs: 1_500,
    workMs,
    endsBackend: false,
    maxRetries: 1,
  };
}
