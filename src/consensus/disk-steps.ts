/**
 * Ordered disk operations for the effects of one batch of events. After a power loss each write since the last sync
 * may be complete, missing or torn, independently of earlier writes. Therefore every write to the log is synced before
 * the next one: a lost truncation followed by a completed append would leave an unreadable log.
 */
import type { RaftEffect } from './raft-types.js';

/** An effect that writes to disk. */
export type DiskEffect = Extract<
  RaftEffect,
  { readonly kind: 'persist-hard-state' | 'persist-entries' | 'truncate-log' | 'install-snapshot' }
>;

/** One disk operation. */
export type DiskStep = DiskEffect | { readonly kind: 'sync' };

const SYNC: DiskStep = { kind: 'sync' };

/** Returns the disk operations of a batch. Consecutive appends are merged into one write to save disk operations. */
export function diskSteps(effects: readonly RaftEffect[]): DiskStep[] {
  const steps: DiskStep[] = [];
  let hasUnsyncedLogWrite = false;
  for (const effect of mergeAppends(effects.filter(isDiskEffect))) {
    const writesLog = effect.kind === 'persist-entries' || effect.kind === 'truncate-log';
    if (writesLog && hasUnsyncedLogWrite) steps.push(SYNC);
    if (writesLog) hasUnsyncedLogWrite = true;
    steps.push(effect);
  }
  if (hasUnsyncedLogWrite) steps.push(SYNC);
  return steps;
}

function isDiskEffect(effect: RaftEffect): effect is DiskEffect {
  switch (effect.kind) {
    case 'persist-hard-state':
    case 'persist-entries':
    case 'truncate-log':
    case 'install-snapshot':
      return true;
    default:
      return false;
  }
}

function mergeAppends(effects: readonly DiskEffect[]): DiskEffect[] {
  const merged: DiskEffect[] = [];
  for (const effect of effects) {
    const last = merged.at(-1);
    if (last?.kind === 'persist-entries' && effect.kind === 'persist-entries') {
      merged[merged.length - 1] = { ...last, entries: [...last.entries, ...effect.entries] };
    } else {
      merged.push(effect);
    }
  }
  return merged;
}
