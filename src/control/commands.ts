/** Commands of the replicated state machine. Times are wall-clock ms of the leader that proposed the command. */
import type { ConfigurationDocument } from '../config/configuration.js';
import type { SocketAddress } from '../model/socket-address.js';
import type { CrashCommand } from '../quarantine/crash-commands.js';

/** Replaces the configuration if `baseRevision` is the current revision. */
export interface ConfigureCommand {
  readonly kind: 'configure';
  /** Chosen by the operator; a resend with the same id receives the original answer. */
  readonly submissionId: string;
  readonly baseRevision: number;
  readonly document: ConfigurationDocument;
}

/** Opens a session for a back end and closes its previous session. */
export interface OpenSessionCommand {
  readonly kind: 'open-session';
  readonly service: string;
  readonly backend: string;
  /** Chosen by the agent; a repeated request with the same id receives the same session. */
  readonly openId: string;
  readonly agentAddress: SocketAddress;
  readonly wallMs: number;
}

/** Closes sessions whose lease expired or that the agent gave up; their shards become unowned. */
export interface CloseSessionsCommand {
  readonly kind: 'close-sessions';
  readonly sessions: readonly number[];
  readonly wallMs: number;
}

/** Assigns unowned shards to back ends. */
export interface AssignCommand {
  readonly kind: 'assign';
  readonly service: string;
  readonly assignments: readonly BackendAssignment[];
}

/** Shards assigned to one back end; a typed array keeps the log entry of a first assignment small. */
export interface BackendAssignment {
  readonly backend: string;
  readonly shards: Uint32Array;
}

/** Starts planned moves; the owner keeps each shard until the handover is complete. */
export interface BeginMovesCommand {
  readonly kind: 'begin-moves';
  readonly service: string;
  readonly moves: readonly ShardTarget[];
}

/** Completes a move after the owner has released the shard; the target becomes the owner. */
export interface CompleteMoveCommand {
  readonly kind: 'complete-move';
  readonly service: string;
  readonly shard: number;
  /** Id of the move. */
  readonly moveId: number;
  /** Whether the window of claimed idempotency keys was transferred to the target. */
  readonly windowHandedOver: boolean;
  readonly wallMs: number;
}

/** Cancels a planned move that cannot be carried out; the owner keeps the shard. */
export interface CancelMoveCommand {
  readonly kind: 'cancel-move';
  readonly service: string;
  readonly shard: number;
  /** Id of the move. */
  readonly moveId: number;
}

/** Marks a session whose back end leaves by itself, which drains the back end until the session is closed. */
export interface MarkLeavingCommand {
  readonly kind: 'mark-leaving';
  readonly session: number;
}

/** Starts or stops draining a back end. */
export interface SetDrainCommand {
  readonly kind: 'set-drain';
  readonly backend: string;
  readonly draining: boolean;
}

/** Starts or ends the evacuation of a zone, which drains all its back ends. */
export interface SetEvacuationCommand {
  readonly kind: 'set-evacuation';
  readonly zone: string;
  readonly evacuated: boolean;
}

/** A shard and its target back end. */
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
  | MarkLeavingCommand
  | SetDrainCommand
  | SetEvacuationCommand
  | CrashCommand;

/** Outcome of an applied command. */
export type CommandOutcome =
  | { readonly kind: 'done' }
  | { readonly kind: 'configured'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly presentRevision: number; readonly baseRevision: number }
  | { readonly kind: 'refused'; readonly detail: string }
  | { readonly kind: 'session-opened'; readonly session: number };
