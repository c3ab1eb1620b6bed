/** Commands of the directory's state machine, their outcomes, and the changes that they publish. */
import type { CrashCommand } from '../quarantine/crash-commands.js';
import type { CrashRecord } from '../quarantine/crash-records.js';
import type { BackendCondition, BackendInstance, ConfigurationItem, KeyRange } from './directory-state.js';

/** Stores individually versioned items; for each name the highest version wins. */
export interface ConfigureItemsCommand {
  readonly kind: 'configure-items';
  /** Digest of the call's content, by which a resend gets the same answer. Missing for calls that are never resent. */
  readonly digest?: string | undefined;
  readonly items: readonly ConfigurationItem[];
}

/** Creates a new revision of the whole configuration if `base` is the current version. */
export interface ConfigureRevisionCommand {
  readonly kind: 'configure-revision';
  readonly base: number;
  readonly version: number;
  /** Digest of the call's content, by which a resend gets the same answer. */
  readonly digest: string;
  /** Whether items that are missing from `items` are dropped. */
  readonly replacesAll: boolean;
  readonly items: readonly ConfigurationItem[];
}

/** Registers one incarnation of a back end. Idempotent: repeated registrations get the same session. */
export interface RegisterCommand {
  readonly kind: 'register';
  readonly instance: Omit<BackendInstance, 'session'>;
  /** Id of the incarnation at the same daemon that may be replaced; null for none, missing for any. */
  readonly replaces?: string | null | undefined;
  /** Id of the process whose registration of the same incarnation may be taken over; null or missing for none. */
  readonly replacesHolder?: string | null | undefined;
}

/** Changes the condition of a back end. */
export interface SetConditionCommand {
  readonly kind: 'set-condition';
  readonly id: string;
  readonly session: number;
  readonly condition: BackendCondition;
}

/** Removes back ends that have ended or whose leases have expired; their ranges become unowned. */
export interface UnregisterCommand {
  readonly kind: 'unregister';
  readonly sessions: readonly EndedSession[];
}

/** Identifies one registration of a back end. */
export interface InstanceSession {
  readonly id: string;
  readonly session: number;
}

/** A registration to be removed. */
export interface EndedSession extends InstanceSession {
  /** Id of the process that gave it up, which must still hold it; missing if its lease has expired. */
  readonly holder?: string | undefined;
}

/** Range of keys from `from` to `to`, both inclusive. */
export interface KeySpan {
  readonly from: number;
  readonly to: number;
}

/** Assigns unowned ranges to back ends; ranges are split where needed. */
export interface AssignRangesCommand {
  readonly kind: 'assign-ranges';
  readonly service: string;
  readonly assignments: readonly (KeySpan & { readonly owner: string })[];
}

/** Starts moves. The owner keeps each range until it releases it. */
export interface BeginRangeMovesCommand {
  readonly kind: 'begin-range-moves';
  readonly service: string;
  readonly moves: readonly (KeySpan & { readonly target: string })[];
}

/** Completes a move after the owner released the range; the target becomes the owner. */
export interface CompleteRangeMoveCommand extends KeySpan {
  readonly kind: 'complete-range-move';
  readonly service: string;
  readonly owner: string;
  readonly fence: number;
  readonly handover: string;
  /** Id of the process that reported the release; see `isFromHolder`. */
  readonly holder?: string | undefined;
}

/**
 * Raises the fence of a range without changing its owner, so that the owner can be made to reject grants that were
 * sent under the earlier fence and may still be in flight.
 */
export interface RaiseFenceCommand extends KeySpan {
  readonly kind: 'raise-fence';
  readonly service: string;
  readonly owner: string;
  readonly fence: number;
  /** Id of the process that requested it; see `isFromHolder`. */
  readonly holder?: string | undefined;
}

/** Starts or ends the evacuation of a zone; the back ends of an evacuated zone receive no requests. */
export interface SetEvacuationCommand {
  readonly kind: 'set-evacuation';
  readonly zone: string;
  readonly evacuated: boolean;
}

/** A command of the directory's state machine. */
export type DirectoryCommand =
  | ConfigureItemsCommand
  | ConfigureRevisionCommand
  | RegisterCommand
  | SetConditionCommand
  | UnregisterCommand
  | AssignRangesCommand
  | BeginRangeMovesCommand
  | CompleteRangeMoveCommand
  | RaiseFenceCommand
  | SetEvacuationCommand
  | CrashCommand;

/** Result of applying a command. */
export type DirectoryOutcome =
  | { readonly kind: 'done' }
  | { readonly kind: 'conflict'; readonly present: number }
  | { readonly kind: 'invalid'; readonly detail: string }
  | { readonly kind: 'registered'; readonly session: number };

/** A change made by a committed command, as published to watching daemons. */
export type DirectoryChange =
  | { readonly kind: 'items'; readonly items: readonly ConfigurationItem[] }
  | { readonly kind: 'instance'; readonly instance: BackendInstance }
  | { readonly kind: 'instance-gone'; readonly id: string }
  | { readonly kind: 'evacuation'; readonly zone: string; readonly evacuated: boolean }
  /** Records of requests during which back ends ended; `removed` lists fingerprints that no longer hold requests. */
  | {
      readonly kind: 'crash-records';
      readonly changed: readonly CrashRecord[];
      readonly removed: readonly string[];
    }
  /** Ranges that replace those they overlap; all other ranges are unchanged. */
  | { readonly kind: 'ranges'; readonly service: string; readonly ranges: readonly KeyRange[] };
