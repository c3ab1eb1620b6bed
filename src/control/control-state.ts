/** The replicated state: configuration, sessions and shard ownership. Only committed commands change it. */
import type { ConfigurationDocument } from '../config/configuration.js';
import type { SocketAddress } from '../model/socket-address.js';
import type { CrashRecords } from '../quarantine/crash-records.js';
import type { ServiceShards } from './service-shards.js';

/** An agent's session: while its lease is renewed, its back end may own shards. */
export interface Session {
  /** Index of the log entry that opened the session; never reused. */
  readonly id: number;
  readonly backend: string;
  readonly service: string;
  /** Id that the agent chose for its request. */
  readonly openId: string;
  /** Address at which this agent accepts handovers from other agents. */
  readonly agentAddress: SocketAddress;
  /** Whether the back end leaves by itself; missing if not. */
  readonly leaving?: true;
}

/** Stored answer of a submission, so that a resend receives the same answer. */
export interface SubmissionRecord {
  readonly submissionId: string;
  readonly revision: number;
}

/** A configuration and its revision number. */
export interface ConfigurationRevision {
  /** Incremented with every accepted change; 0 before the first. */
  readonly revision: number;
  readonly document: ConfigurationDocument;
}

/** The complete replicated state. */
export interface ControlState {
  configuration: ConfigurationRevision;
  /** In order of acceptance, newest last. */
  submissions: SubmissionRecord[];
  readonly sessions: Map<number, Session>;
  /** Names of back ends that an operator drains. */
  readonly drained: Set<string>;
  /** Zones under evacuation, whose back ends are all drained. */
  readonly evacuatedZones: Set<string>;
  /** Names of all draining back ends: those in `drained`, those in evacuated zones and those that leave by themselves. */
  readonly draining: Set<string>;
  /** Shard rows by service. */
  readonly shards: Map<string, ServiceShards>;
  /** Records of requests during which back ends ended, by fingerprint. */
  readonly crashRecords: CrashRecords;
}

/** Returns the state before the first command. */
export function emptyControlState(): ControlState {
  return {
    configuration: { revision: 0, document: { version: 1, services: {} } },
    submissions: [],
    sessions: new Map(),
    drained: new Set(),
    evacuatedZones: new Set(),
    draining: new Set(),
    shards: new Map(),
    crashRecords: new Map(),
  };
}

/** Returns the open session of a back end, if any. */
export function sessionOfBackend(state: ControlState, backend: string): Session | undefined {
  for (const session of state.sessions.values()) {
    if (session.backend === backend) return session;
  }
  return undefined;
}

/** Returns the open sessions by back end. */
export function sessionsByBackend(state: ControlState): ReadonlyMap<string, Session> {
  return new Map([...state.sessions.values()].map((session) => [session.backend, session]));
}

/** Returns the identifier, in crash records, of the back end's incarnation that a session represents. */
export function sessionIncarnation(backend: string, session: number): string {
  return `${backend}#${session}`;
}
