/** Judges a run: joins what back ends ran with what callers were told, and finds every broken promise. */
import type { ExecutionRecord, JournalRecord, SendingRecord } from '../journal.js';

/** A broken promise. */
export interface Violation {
  readonly promise:
    'one-owner' | 'not-run' | 'at-most-once' | 'whole-answer' | 'answered-was-run' | 'clean-stop';
  readonly detail: string;
}

/** Finds every broken promise in the journals of one run. */
export function judge(records: readonly JournalRecord[]): Violation[] {
  const executions = records.filter((record) => record.kind === 'execution');
  const sendings = records.filter((record) => record.kind === 'sending');
  return [
    ...findTwoOwners(executions),
    ...findRunAfterRefusal(executions, sendings),
    ...findRunTwice(executions),
    ...findWrongAnswers(sendings),
    ...findAnsweredWithoutRun(executions, sendings),
  ];
}

/** In the order of time, the epochs of a shard's executions never fall, and one epoch has one back end. */
function findTwoOwners(executions: readonly ExecutionRecord[]): Violation[] {
  const violations: Violation[] = [];
  const newest = new Map<string, ExecutionRecord>();
  for (const execution of [...executions].sort((left, right) => left.atMs - right.atMs)) {
    if (execution.shard === null || execution.epoch === null) continue;
    const place = `${execution.service}/${execution.shard}`;
    const earlier = newest.get(place);
    const olderEpoch = earlier?.epoch != null && execution.epoch < earlier.epoch;
    const otherOwner = earlier?.epoch === execution.epoch && earlier.backend !== execution.backend;
    if (olderEpoch || otherOwner)
      violations.push({ promise: 'one-owner', detail: describePair(earlier, execution) });
    if (!olderEpoch) newest.set(place, execution);
  }
  return violations;
}

function describePair(earlier: ExecutionRecord, later: ExecutionRecord): string {
  const write = ({ backend, epoch, atMs }: ExecutionRecord): string =>
    `${backend} epoch ${epoch ?? 0} at ${atMs}`;
  return `${later.service}/${later.shard ?? 0}: ${write(earlier)}, then ${write(later)}`;
}

function findRunAfterRefusal(
  executions: readonly ExecutionRecord[],
  sendings: readonly SendingRecord[],
): Violation[] {
  const ran = new Set(executions.map((execution) => execution.sendingId));
  return sendings
    .filter((sending) => sending.outcome === 'refused' && ran.has(sending.sendingId))
    .map(({ sendingId, detail }) => ({
      promise: 'not-run',
      detail: `${sendingId} ran, but was refused: ${detail}`,
    }));
}

function findRunTwice(executions: readonly ExecutionRecord[]): Violation[] {
  const runs = new Map<string, number>();
  for (const { idempotencyKey, repeatable, sendingId } of executions) {
    if (repeatable) continue;
    const key = idempotencyKey ?? sendingId;
    runs.set(key, (runs.get(key) ?? 0) + 1);
  }
  return [...runs]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => ({ promise: 'at-most-once', detail: `${key} ran ${count} times` }));
}

function findWrongAnswers(sendings: readonly SendingRecord[]): Violation[] {
  return sendings
    .filter((sending) => sending.outcome === 'wrong-answer')
    .map(({ sendingId, operation }) => ({ promise: 'whole-answer', detail: `${operation} ${sendingId}` }));
}

/** Every answer comes from an execution: of the same sending, or of the same idempotency key. */
function findAnsweredWithoutRun(
  executions: readonly ExecutionRecord[],
  sendings: readonly SendingRecord[],
): Violation[] {
  const ran = new Set(executions.flatMap(({ sendingId, idempotencyKey }) => [sendingId, idempotencyKey]));
  return sendings
    .filter((sending) => sending.outcome === 'answered')
    .filter((sending) => !ran.has(sending.sendingId) && !ran.has(sending.idempotencyKey ?? ''))
    .map(({ sendingId }) => ({
      promise: 'answered-was-run',
      detail: `${sendingId} was answered but never ran`,
    }));
}
