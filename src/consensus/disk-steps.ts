/**
 * What the effects of one batch of events do to the disk, in order. After a loss of power each write since the last
 * sync is there, missing or torn, whatever became of the writes before it. So no write to the log follows another one
 * that is not synced: a lost truncation under a kept append would leave a log that cannot be read.
 */
import type { RaftEffect } from './raft-types.js';

/** An effect that goes to disk. */
export type DiskEffect = Extract<
  RaftEffect,
  { readonly kind: 'persist-hard-state' | 'persist-entries' | 'truncate-log' | 'install-snapshot' }
>;

/** One step on the disk. */
export type DiskStep = DiskEffect | { readonly kind: 'sync' };

const SYNC: DiskStep = { kind: 'sync' };

/** The steps of a batch. Entries that follow each other are joined, since each write has its price. */
export function diskSteps(effects: readonly RaftEffect[]): DiskStep[] {
  const steps: DiskStep[] = [];
  let unsynced = false;
  for (const effect of joinAppends(effects.filter(isDiskEffect))) {
    const writesLog = effect.kind === 'persist-entries' || effect.kind === 'truncate-log';
    if (writesLog && unsynced) steps.push(SYNC);
    if (writesLog) unsynced = true;
    steps.push(effect);
  }
  if (unsynced) steps.push(SYNC);
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

function joinAppends(effects: readonly DiskEffect[]): DiskEffect[] {
  const joined: DiskEffect[] = [];
  for (const effect of effects) {
    const last = joined.at(-1);
    if (last?.kind === 'persist-entries' && effect.kind === 'persist-entries') {
      joined[joined.length - 1] = { ...last, entries: [...last.entries, ...effect.entries] };
    } else {
      joined.push(effect);
    }
  }
  return joined;
}
