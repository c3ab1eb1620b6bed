/** Commands of the directory's state machine, what they do, and the changes that they publish. */
import type { CrashCommand } from '../quarantine/crash-commands.js';
import type { CrashRecord } from '../quarantine/crash-records.js';
import type { BackendCondition, BackendInstance, ConfigurationItem, KeyRange } from './directory-state.js';

/** Takes items whose versions are their own: for each name the highest version stands. */
export interface ConfigureItemsCommand {
  readonly kind: 'configure-items';
  /** Digest of the call's content; the same call sent again gets the same answer. Missing where nothing is sent again. */
  readonly digest?: string | undefined;
  readonly items: readonly ConfigurationItem[];
}

/** Changes the configuration as a whole, if `base` is its present version. */
export interface ConfigureRevisionCommand {
  readonly kind: 'configure-revision';
  readonly base: number;
  readonly version: number;
  /** Digest of the call's content; the same call sent again gets the same answer. */
  readonly digest: string;
  /** Whether items that the call does not name are dropped. */
  readonly replacesAll: boolean;
  readonly items: readonly ConfigurationItem[];
}

/** Registers one life of a back end; asking again gets the same session. */
export interface RegisterCommand {
  readonly kind: 'register';
  readonly instance: Omit<BackendInstance, 'session'>;
  /** Other life at the same daemon that it may end; null for none, missing for any. */
  readonly replaces?: string | null | undefined;
}

/** A back end has changed its condition. */
export interface SetConditionCommand {
  readonly kind: 'set-condition';
  readonly id: string;
  readonly session: number;
  readonly condition: BackendCondition;
}

/** Back ends whose leases ran out or that are gone; what they own has no owner any more. */
export interface UnregisterCommand {
  readonly kind: 'unregister';
  readonly sessions: readonly InstanceSession[];
}

/** A back end under one registration. */
export interface InstanceSession {
  readonly id: string;
  readonly session: number;
}

/** Keys from `from` to `to`, both included. */
export interface KeySpan {
  readonly from: number;
  readonly to: number;
}

/** Gives ranges without owner to back ends; cuts ranges where needed. */
export interface AssignRangesCommand {
  readonly kind: 'assign-ranges';
  readonly service: string;
  readonly assignments: readonly (KeySpan & { readonly owner: string })[];
}

/** Starts moves; the owner keeps each range until it has released it. */
export interface BeginRangeMovesCommand {
  readonly kind: 'begin-range-moves';
  readonly service: string;
  readonly moves: readonly (KeySpan & { readonly target: string })[];
}

/** The owner has released a range; the target owns it from now on. */
export interface CompleteRangeMoveCommand extends KeySpan {
  readonly kind: 'complete-range-move';
  readonly service: string;
  readonly owner: string;
  readonly fence: number;
  readonly handover: string;
}

/**
 * Raises the fence of a range that stays where it is, so that its owner can be made to refuse grants that were sent
 * under the earlier fence and may still be on their way.
 */
export interface RaiseFenceCommand extends KeySpan {
  readonly kind: 'raise-fence';
  readonly service: string;
  readonly owner: string;
  readonly fence: number;
}

/** The back ends of a zone are to be sent nothing, or may be sent requests again. */
export interface SetEvacuationCommand {
  readonly kind: 'set-evacuation';
  readonly zone: string;
  readonly evacuated: boolean;
}

/** Commands of a directory. */
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

/** What a command did. */
export type DirectoryOutcome =
  | { readonly kind: 'done' }
  | { readonly kind: 'conflict'; readonly present: number }
  | { readonly kind: 'invalid'; readonly detail: string }
  | { readonly kind: 'registered'; readonly session: number };

/** What a committed command changed, for daemons that watch. */
export type DirectoryChange =
  | { readonly kind: 'items'; readonly items: readonly ConfigurationItem[] }
  | { readonly kind: 'instance'; readonly instance: BackendInstance }
  | { readonly kind: 'instance-gone'; readonly id: string }
  | { readonly kind: 'evacuation'; readonly zone: string; readonly evacuated: boolean }
  /** Records of requests under which back ends ended; those whose fingerprints are `removed` hold nothing any more. */
  | {
      readonly kind: 'crash-records';
      readonly changed: readonly CrashRecord[];
      readonly removed: readonly string[];
    }
  /** These ranges stand in the place of those that they overlap; the others are as they were. */
  | { readonly kind: 'ranges'; readonly service: string; readonly ranges: readonly KeyRange[] };
