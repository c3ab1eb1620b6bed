/**
 * Guards that can be disabled in a simulation to show that each is needed. Only drivers and ports are replaced; the
 * protocol cores are unchanged.
 */
import type { Claim, Grant, RefusalCode } from '../../src/backend-contract/grant-messages.js';
import { LeaseTable } from '../../src/control/lease-table.js';
import { GrantTable, type Admission } from '../backend/grant-table.js';
import type { DiskFaults } from './sim-disk.js';
import { createGrantTable, type GrantTableFactory } from './sim-backend.js';

/** Names of the guards. */
export const GUARD_NAMES = [
  'vote-is-synced',
  'log-is-synced',
  'new-identity-after-lost-disk',
  'new-leader-waits-a-term',
  'epoch-is-checked',
  'lease-deadline-is-checked',
  'grant-is-checked-again-before-the-change',
  'window-is-handed-over',
  'freshness-is-proven',
  'holder-starts-from-sending',
] as const;

/** Name of a guard. */
export type GuardName = (typeof GUARD_NAMES)[number];

/** Failure that each guard prevents. */
export const GUARD_PURPOSE: Readonly<Record<GuardName, string>> = {
  'vote-is-synced': 'a replica that restarts must not vote twice in a term',
  'log-is-synced': 'what was acknowledged must survive a crash',
  'new-identity-after-lost-disk': 'a replica without its log must not vote as if it had it',
  'new-leader-waits-a-term': 'a new leader does not know the renewals of the earlier one',
  'epoch-is-checked': 'a router with an old table must not reach an old grant',
  'lease-deadline-is-checked': 'a back end that was frozen must not serve when it goes on',
  'grant-is-checked-again-before-the-change':
    'a freeze between check and change must not let the change through',
  'window-is-handed-over': 'a repeat that arrives after a move must find its claim',
  'freshness-is-proven': 'a repeat that arrives after a loss must not run again',
  'holder-starts-from-sending': 'the holder must stop before control gives its shards away',
};

/** Time in ms by which lease deadlines are extended without `holder-starts-from-sending`. */
const LEASE_EXTENSION_MS = 600;

const REPEAT_HORIZON_MS = 30_000;

/** Returns the disk defects that stand for the missing `guard`. */
export function diskFaults(guard: GuardName | null): DiskFaults {
  return {
    losesHardState: guard === 'vote-is-synced',
    skipsSync: guard === 'log-is-synced',
    reusesIdentity: guard === 'new-identity-after-lost-disk',
  };
}

/** Returns the leader's lease table without `guard`; undefined for the default one. */
export function createLeaseTable(guard: GuardName | null, termMs: number): LeaseTable | undefined {
  return guard === 'new-leader-waits-a-term' ? new NoWaitLeaseTable(termMs) : undefined;
}

class NoWaitLeaseTable extends LeaseTable {
  override restart(sessions: Iterable<number>): void {
    super.restart(sessions, -Infinity);
  }
}

/** Returns the factory of the back ends' grant tables without `guard`. */
export function grantTableFactory(guard: GuardName | null): GrantTableFactory {
  switch (guard) {
    case 'epoch-is-checked':
      return (clocks) => new AnyEpochGrantTable(clocks, REPEAT_HORIZON_MS);
    case 'lease-deadline-is-checked':
      return (clocks) => new NoExpiryGrantTable(clocks, REPEAT_HORIZON_MS);
    case 'grant-is-checked-again-before-the-change':
      return (clocks) => new NoRecheckGrantTable(clocks, REPEAT_HORIZON_MS);
    case 'window-is-handed-over':
      return (clocks) => new NoWindowGrantTable(clocks, REPEAT_HORIZON_MS);
    case 'freshness-is-proven':
      return (clocks) => new NoFreshnessGrantTable(clocks, REPEAT_HORIZON_MS);
    case 'holder-starts-from-sending':
      return (clocks) => new LateExpiryGrantTable(clocks, REPEAT_HORIZON_MS);
    default:
      return createGrantTable;
  }
}

class AnyEpochGrantTable extends GrantTable {
  override admit(shard: number, epoch: number): Admission | RefusalCode {
    return super.admit(shard, this.epochOf(shard) ?? epoch);
  }
}

class NoExpiryGrantTable extends GrantTable {
  override extend(): void {
    super.extend(Infinity);
  }
}

class NoRecheckGrantTable extends GrantTable {
  override admit(shard: number, epoch: number): Admission | RefusalCode {
    const admission = super.admit(shard, epoch);
    if (typeof admission === 'string') return admission;
    return { ...admission, stillValid: () => true };
  }
}

class NoWindowGrantTable extends GrantTable {
  override add(grants: readonly Grant[]): void {
    const emptyWindow: Claim[] = [];
    super.add(grants.map((grant) => ({ ...grant, window: emptyWindow })));
  }
}

class NoFreshnessGrantTable extends GrantTable {
  override add(grants: readonly Grant[]): void {
    super.add(grants.map((grant) => ({ ...grant, freshAfterMs: 0 })));
  }
}

class LateExpiryGrantTable extends GrantTable {
  override extend(deadlineMs: number): void {
    super.extend(deadlineMs + LEASE_EXTENSION_MS);
  }
}
