/**
 * Guards that a simulation can be run without, to show that each is needed. Only drivers and ports are
 * replaced; the cores stay as they are.
 */
import type { Claim, Grant, RefusalCode } from '../../src/backend-contract/grant-messages.js';
import { LeaseTable } from '../../src/control/lease-table.js';
import { GrantTable, type Admission } from '../backend/grant-table.js';
import type { DiskFaults } from './sim-disk.js';
import { makeGrantTable, type GrantTableFactory } from './sim-backend.js';

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

/** A guard. */
export type GuardName = (typeof GUARD_NAMES)[number];

/** What the guards are for. */
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

/** How long a disk or port without a guard exaggerates, in ms. */
const LATE_DEADLINE_MS = 600;

const REPEAT_HORIZON_MS = 30_000;

/** The disk of a simulation without `guard`. */
export function diskFaults(guard: GuardName | null): DiskFaults {
  return {
    forgetsHardState: guard === 'vote-is-synced',
    skipsSync: guard === 'log-is-synced',
    keepsIdentity: guard === 'new-identity-after-lost-disk',
  };
}

/** The leader's table of leases without `guard`; undefined for the usual one. */
export function leaseTable(guard: GuardName | null, termMs: number): LeaseTable | undefined {
  return guard === 'new-leader-waits-a-term' ? new ImpatientLeaseTable(termMs) : undefined;
}

class ImpatientLeaseTable extends LeaseTable {
  override restart(sessions: Iterable<number>): void {
    super.restart(sessions, -Infinity);
  }
}

/** The back ends' table of grants without `guard`. */
export function grantTables(guard: GuardName | null): GrantTableFactory {
  switch (guard) {
    case 'epoch-is-checked':
      return (clocks) => new AnyEpochGrantTable(clocks, REPEAT_HORIZON_MS);
    case 'lease-deadline-is-checked':
      return (clocks) => new EndlessGrantTable(clocks, REPEAT_HORIZON_MS);
    case 'grant-is-checked-again-before-the-change':
      return (clocks) => new OnceCheckedGrantTable(clocks, REPEAT_HORIZON_MS);
    case 'window-is-handed-over':
      return (clocks) => new ForgetfulGrantTable(clocks, REPEAT_HORIZON_MS);
    case 'freshness-is-proven':
      return (clocks) => new TrustingGrantTable(clocks, REPEAT_HORIZON_MS);
    case 'holder-starts-from-sending':
      return (clocks) => new LateGrantTable(clocks, REPEAT_HORIZON_MS);
    default:
      return makeGrantTable;
  }
}

class AnyEpochGrantTable extends GrantTable {
  override admit(shard: number, epoch: number): Admission | RefusalCode {
    return super.admit(shard, this.epochOf(shard) ?? epoch);
  }
}

class EndlessGrantTable extends GrantTable {
  override extend(): void {
    super.extend(Infinity);
  }
}

class OnceCheckedGrantTable extends GrantTable {
  override admit(shard: number, epoch: number): Admission | RefusalCode {
    const admission = super.admit(shard, epoch);
    if (typeof admission === 'string') return admission;
    return { ...admission, stillValid: () => true };
  }
}

class ForgetfulGrantTable extends GrantTable {
  override add(grants: readonly Grant[]): void {
    const forgotten: Claim[] = [];
    super.add(grants.map((grant) => ({ ...grant, window: forgotten })));
  }
}

class TrustingGrantTable extends GrantTable {
  override add(grants: readonly Grant[]): void {
    super.add(grants.map((grant) => ({ ...grant, freshAfterMs: 0 })));
  }
}

class LateGrantTable extends GrantTable {
  override extend(deadlineMs: number): void {
    super.extend(deadlineMs + LATE_DEADLINE_MS);
  }
}
