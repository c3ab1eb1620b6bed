/** Commands of the replicated state machine. Times are wall-clock ms, taken by the leader that proposed. */
import type { ConfigurationDocument } from '../config/configuration.js';
import type { SocketAddress } from '../model/socket-address.js';
import type { CrashCommand } from '../quarantine/crash-commands.js';

/** Replaces the configuration if `baseRevision` is the present one. */
export interface ConfigureCommand {
  readonly kind: 'configure';
  /** Chosen by the operator; a resend under the same id gets the first answer. */
  readonly submissionId: string;
  readonly baseRevision: number;
  readonly document: ConfigurationDocument;
}

/** Opens a session for a back end and closes its earlier one. */
export interface OpenSessionCommand {
  readonly kind: 'open-session';
  readonly service: string;
  readonly backend: string;
  /** Chosen by the agent; asking again under the same id gets the same session. */
  readonly openId: string;
  readonly agentAddress: SocketAddress;
  readonly wallMs: number;
}

/** Ends sessions whose lease ran out or that were given up; their shards lose their owner. */
export interface CloseSessionsCommand {
  readonly kind: 'close-sessions';
  readonly sessions: readonly number[];
  readonly wallMs: number;
}

/** Gives shards without owner to back ends. */
export interface AssignCommand {
  readonly kind: 'assign';
  readonly service: string;
  readonly assignments: readonly BackendAssignment[];
}

/** Shards that one back end gets; a typed array, so that a first assignment stays a small log entry. */
export interface BackendAssignment {
  readonly backend: string;
  readonly shards: Uint32Array;
}

/** Starts planned moves; the owner keeps each shard until it has handed it over. */
export interface BeginMovesCommand {
  readonly kind: 'begin-moves';
  readonly service: string;
  readonly moves: readonly ShardTarget[];
}

/** The owner has released a shard for a move; the target owns it from now on. */
export interface CompleteMoveCommand {
  readonly kind: 'complete-move';
  readonly service: string;
  readonly shard: number;
  /** The move that the report is about. */
  readonly moveId: number;
  /** Whether the target holds the window of claimed idempotency keys. */
  readonly windowHandedOver: boolean;
  readonly wallMs: number;
}

/** A planned move cannot be done; the owner keeps the shard. */
export interface CancelMoveCommand {
  readonly kind: 'cancel-move';
  readonly service: string;
  readonly shard: number;
  /** The move that the report is about. */
  readonly moveId: number;
}

/** Marks a back end as leaving or takes the mark away. */
export interface SetDrainCommand {
  readonly kind: 'set-drain';
  readonly backend: string;
  readonly draining: boolean;
}

/** All back ends of a zone are to be emptied, or are back in service. */
export interface SetEvacuationCommand {
  readonly kind: 'set-evacuation';
  readonly zone: string;
  readonly evacuated: boolean;
}

/** A shard and the back end that it should go to. */
export interface ShardTarget {
  readonly shard: number;
  readonly backend: string;
}

/** All commands. */
export type ControlCommand =
  | ConfigureCommand
  | OpenSessionCommand
  | CloseSessionsCommand
  | AssignCommand
  | BeginMovesCommand
  | CompleteMoveCommand
  | CancelMoveCommand
  | SetDrainCommand
  | SetEvacuationCommand
  | CrashCommand;

/** What a command did. */
export type CommandOutcome =
  | { readonly kind: 'done' }
  | { readonly kind: 'configured'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly presentRevision: number; readonly baseRevision: number }
  | { readonly kind: 'refused'; readonly detail: string }
  | { readonly kind: 'session-opened'; readonly session: number };
