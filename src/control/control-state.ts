/** The replicated state: configuration, sessions, shard ownership. Changed only by committed commands. */
import type { ConfigurationDocument } from '../config/configuration.js';
import type { SocketAddress } from '../model/socket-address.js';
import type { CrashRecords } from '../quarantine/crash-records.js';
import type { ServiceShards } from './service-shards.js';

/** An agent's session: while its lease is renewed, its back end may own shards. */
export interface Session {
  /** Index of the log entry that opened it; never used twice. */
  readonly id: number;
  readonly backend: string;
  readonly service: string;
  /** Id under which the agent asked for it. */
  readonly openId: string;
  /** Where other agents hand over to this one. */
  readonly agentAddress: SocketAddress;
}

/** The answer that a submission got, kept so that a resend gets the same one. */
export interface SubmissionRecord {
  readonly submissionId: string;
  readonly revision: number;
}

/** A configuration and its place in the order of configurations. */
export interface ConfigurationRevision {
  /** Rises by one with every accepted change; 0 before the first. */
  readonly revision: number;
  readonly document: ConfigurationDocument;
}

/** Everything that is replicated. */
export interface ControlState {
  configuration: ConfigurationRevision;
  /** Newest last. */
  submissions: SubmissionRecord[];
  readonly sessions: Map<number, Session>;
  /** Names of back ends that an operator has named to be emptied. */
  readonly drained: Set<string>;
  /** Zones whose back ends are all to be emptied. */
  readonly evacuatedZones: Set<string>;
  /** Names of back ends that are to be emptied, for one reason or the other. */
  readonly draining: Set<string>;
  /** Rows by service. */
  readonly shards: Map<string, ServiceShards>;
  /** Requests under which back ends have ended, by fingerprint. */
  readonly crashRecords: CrashRecords;
}

/** The state before the first command. */
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

/** The open session of a back end, if any. */
export function sessionOfBackend(state: ControlState, backend: string): Session | undefined {
  for (const session of state.sessions.values()) {
    if (session.backend === backend) return session;
  }
  return undefined;
}

/** Open sessions by back end. */
export function sessionsByBackend(state: ControlState): ReadonlyMap<string, Session> {
  return new Map([...state.sessions.values()].map((session) => [session.backend, session]));
}

/** How records of ends name the life of a back end that one session stands for. */
export function sessionLife(backend: string, session: number): string {
  return `${backend}#${session}`;
}
