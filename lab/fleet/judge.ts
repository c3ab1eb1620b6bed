/** Checks a run: compares what the back ends executed with the results that callers saw, and finds all violations. */
import type { ExecutionRecord, JournalRecord, SendingRecord } from '../journal.js';

/** Violation of a guarantee. */
export interface Violation {
  readonly promise:
    'one-owner' | 'not-run' | 'at-most-once' | 'whole-answer' | 'answered-was-run' | 'clean-stop';
  readonly detail: string;
}

/** Finds all violations in the journals of one run. */
export function findViolations(records: readonly JournalRecord[]): Violation[] {
  const executions = records.filter((record) => record.kind === 'execution');
  const sendings = records.filter((record) => record.kind === 'sending');
  return [
    ...findOwnershipConflicts(executions),
    ...findExecutedRefusals(executions, sendings),
    ...findDuplicateExecutions(executions),
    ...findWrongAnswers(sendings),
    ...findAnswersWithoutExecution(executions, sendings),
  ];
}

/** Checks that, ordered by time, the epochs of a shard's executions never decrease and each epoch has one back end. */
function findOwnershipConflicts(executions: readonly ExecutionRecord[]): Violation[] {
  const violations: Violation[] = [];
  const latestByShard = new Map<string, ExecutionRecord>();
  for (const execution of [...executions].sort((left, right) => left.atMs - right.atMs)) {
    if (execution.shard === null || execution.epoch === null) continue;
    const shardName = `${execution.service}/${execution.shard}`;
    const earlier = latestByShard.get(shardName);
    const olderEpoch = earlier?.epoch != null && execution.epoch < earlier.epoch;
    const otherOwner = earlier?.epoch === execution.epoch && earlier.backend !== execution.backend;
    if (olderEpoch || otherOwner)
      violations.push({ promise: 'one-owner', detail: describePair(earlier, execution) });
    if (!olderEpoch) latestByShard.set(shardName, execution);
  }
  return violations;
}

function describePair(earlier: ExecutionRecord, later: ExecutionRecord): string {
  const format = ({ backend, epoch, atMs }: ExecutionRecord): string =>
    `${backend} epoch ${epoch ?? 0} at ${atMs}`;
  return `${later.service}/${later.shard ?? 0}: ${format(earlier)}, then ${format(later)}`;
}

function findExecutedRefusals(
  executions: readonly ExecutionRecord[],
  sendings: readonly SendingRecord[],
): Violation[] {
  const executedIds = new Set(executions.map((execution) => execution.sendingId));
  return sendings
    .filter((sending) => sending.outcome === 'refused' && executedIds.has(sending.sendingId))
    .map(({ sendingId, detail }) => ({
      promise: 'not-run',
      detail: `${sendingId} ran, but was refused: ${detail}`,
    }));
}

function findDuplicateExecutions(executions: readonly ExecutionRecord[]): Violation[] {
  const executionsByKey = new Map<string, number>();
  for (const { idempotencyKey, repeatable, sendingId } of executions) {
    if (repeatable) continue;
    const key = idempotencyKey ?? sendingId;
    executionsByKey.set(key, (executionsByKey.get(key) ?? 0) + 1);
  }
  return [...executionsByKey]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => ({ promise: 'at-most-once', detail: `${key} ran ${count} times` }));
}

function findWrongAnswers(sendings: readonly SendingRecord[]): Violation[] {
  return sendings
    .filter((sending) => sending.outcome === 'wrong-answer')
    .map(({ sendingId, operation }) => ({ promise: 'whole-answer', detail: `${operation} ${sendingId}` }));
}

/** Checks that every answer stems from an execution of the same sending or of the same idempotency key. */
function findAnswersWithoutExecution(
  executions: readonly ExecutionRecord[],
  sendings: readonly SendingRecord[],
): Violation[] {
  const executedIds = new Set(
    executions.flatMap(({ sendingId, idempotencyKey }) => [sendingId, idempotencyKey]),
  );
  return sendings
    .filter((sending) => sending.outcome === 'answered')
    .filter(
      (sending) => !executedIds.has(sending.sendingId) && !executedIds.has(sending.idempotencyKey ?? ''),
    )
    .map(({ sendingId }) => ({
      promise: 'answered-was-run',
      detail: `${sendingId} was answered but never ran`,
    }));
}
