/** What the daemons of a hollow fleet spent between two readings, by role. */
import type { ControlReading } from './control-reading.js';
import type { HollowReading } from './hollow-options.js';

/** Spent by one daemon of a role. */
export interface RoleSpent {
  readonly role: 'agent' | 'router' | 'control-leader' | 'control-follower';
  readonly daemons: number;
  /** Both ways, payload of the internal connections; of a control replica what it sends. */
  readonly bytesPerSecond: number;
  /** Of one core. */
  readonly cpuPercent: number;
  /** Resident; of hollow daemons the process's divided by its daemons. */
  readonly memoryMB: number;
  /** Log entries and syncs a second; 0 for daemons without a log. */
  readonly entriesPerSecond: number;
  readonly syncsPerSecond: number;
}

/** Readings of the whole fleet at one time. */
export interface FleetReading {
  readonly hosts: readonly HollowReading[];
  readonly control: readonly ControlReading[];
}

const BYTES_PER_MB = 1_000_000;

/** Works out what was spent. */
export function measureSpent(before: FleetReading, after: FleetReading): RoleSpent[] {
  return [
    hollowSpent('agent', before, after),
    hollowSpent('router', before, after),
    controlSpent('control-leader', before, after),
    controlSpent('control-follower', before, after),
  ];
}

function hollowSpent(role: 'agent' | 'router', before: FleetReading, after: FleetReading): RoleSpent {
  const wanted = `${role}s`;
  const pairs = before.hosts.flatMap((early, at) => {
    const late = after.hosts[at];
    return late !== undefined && early.role === wanted ? [{ early, late }] : [];
  });
  const daemons = pairs.reduce((sum, { late }) => sum + late.daemons, 0);
  const perDaemon = (pick: (pair: { early: HollowReading; late: HollowReading }) => number): number =>
    pairs.reduce((sum, pair) => sum + pick(pair), 0) / Math.max(1, daemons);
  return {
    role,
    daemons,
    bytesPerSecond: round(
      perDaemon(({ early, late }) => {
        const bytes = late.bytesSent + late.bytesReceived - early.bytesSent - early.bytesReceived;
        return (bytes * 1_000) / (late.atMs - early.atMs);
      }),
    ),
    cpuPercent: round(
      perDaemon(({ early, late }) => {
        return (late.cpuMicroseconds - early.cpuMicroseconds) / (late.atMs - early.atMs) / 10;
      }),
    ),
    memoryMB: round(perDaemon(({ late }) => late.memoryBytes) / BYTES_PER_MB),
    entriesPerSecond: 0,
    syncsPerSecond: 0,
  };
}

function controlSpent(
  role: 'control-leader' | 'control-follower',
  before: FleetReading,
  after: FleetReading,
): RoleSpent {
  const pairs = before.control.flatMap((early, at) => {
    const late = after.control[at];
    return late !== undefined && late.isLeader === (role === 'control-leader') ? [{ early, late }] : [];
  });
  const mean = (pick: (early: ControlReading, late: ControlReading, seconds: number) => number): number => {
    const values = pairs.map(({ early, late }) => pick(early, late, (late.atMs - early.atMs) / 1_000));
    return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
  };
  return {
    role,
    daemons: pairs.length,
    bytesPerSecond: round(
      mean((early, late, seconds) => {
        const sent = late.peerBytesSent + late.daemonBytesSent - early.peerBytesSent - early.daemonBytesSent;
        return sent / seconds;
      }),
    ),
    cpuPercent: round(mean((early, late, seconds) => ((late.cpuSeconds - early.cpuSeconds) / seconds) * 100)),
    memoryMB: round(mean((_early, late) => late.memoryBytes / BYTES_PER_MB)),
    entriesPerSecond: round(mean((early, late, seconds) => (late.logEntries - early.logEntries) / seconds)),
    syncsPerSecond: round(mean((early, late, seconds) => (late.logSyncs - early.logSyncs) / seconds)),
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
