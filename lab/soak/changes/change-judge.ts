/**
 * Rules of a soak of changes. None of them depends on speed: a change that was acknowledged is in force and stays so, one that
 * was refused never is, and no process ends by itself or takes more than its share of the machine's memory.
 */
import { markerPrefix, routesAfter, type OperatorChange, type RoutePrefixes } from './change-content.js';

/** A broken rule. */
export interface ChangeViolation {
  readonly rule: ChangeRule;
  readonly detail: string;
}

/** A rule of a soak of changes. */
export type ChangeRule =
  | 'process-ended'
  | 'memory'
  | 'acknowledged-lost'
  | 'older-read'
  | 'invalid-accepted'
  | 'stale-accepted'
  | 'refused-in-force'
  | 'valid-refused'
  | 'contradicting-answers'
  | 'content'
  | 'unanswered'
  | 'not-caught-up'
  | 'not-served'
  | 'requests';

/** Configuration as it was read. */
export interface ReadConfiguration {
  readonly version: number;
  readonly routes: RoutePrefixes;
}

const STATUS = { ok: 200, invalid: 400, conflict: 412 } as const;

/** Violations of one rule that are reported; further ones are only counted. */
const MAX_REPORTED_PER_RULE = 12;

/** Judges answers and reads. */
export class ChangeJudge {
  readonly violations: ChangeViolation[] = [];
  readonly counts = new Map<ChangeRule, number>();
  /** Newest version with an acknowledgement. */
  newestAcknowledged = 0;
  private readonly changes = new Map<number, OperatorChange>();
  /** Newest version with an acknowledgement when a change was first sent, by the version of the change. */
  private readonly newestAtStart = new Map<number, number>();
  private readonly acknowledged = new Set<number>();
  private readonly refused = new Set<number>();

  /** Reports a broken rule. */
  report(rule: ChangeRule, detail: string): void {
    const count = (this.counts.get(rule) ?? 0) + 1;
    this.counts.set(rule, count);
    if (count <= MAX_REPORTED_PER_RULE) this.violations.push({ rule, detail });
  }

  /** Records a change before it is sent for the first time. */
  submitted(change: OperatorChange): void {
    this.changes.set(change.version, change);
    this.newestAtStart.set(change.version, this.newestAcknowledged);
  }

  /**
   * Records a definite answer to a change.
   *
   * @param newestBefore newest version with an acknowledgement when the answered call was sent
   * @param present version that a refusal names as the present one; null if it names none
   */
  answered(change: OperatorChange, status: number, newestBefore: number, present: number | null): void {
    if (status === STATUS.ok) this.accepted(change);
    else this.wasRefused(change, status, newestBefore, present);
  }

  private accepted({ version, base, invalid }: OperatorChange): void {
    if (this.refused.has(version))
      this.report('contradicting-answers', `${version} was refused and then acknowledged`);
    if (invalid !== null) this.report('invalid-accepted', `${version}, which is ${invalid}`);
    const newestAtStart = this.newestAtStart.get(version) ?? 0;
    if (newestAtStart > base)
      this.report('stale-accepted', `${version} on ${base} after the acknowledgement of ${newestAtStart}`);
    this.acknowledged.add(version);
    this.newestAcknowledged = Math.max(this.newestAcknowledged, version);
  }

  private wasRefused(
    change: OperatorChange,
    status: number,
    newestBefore: number,
    present: number | null,
  ): void {
    const { version, base, invalid } = change;
    if (this.acknowledged.has(version))
      this.report('contradicting-answers', `${version} was acknowledged and then refused with ${status}`);
    this.refused.add(version);
    if (status === STATUS.conflict && present !== null && present < newestBefore)
      this.report('older-read', `a refusal names ${present} after the acknowledgement of ${newestBefore}`);
    if (invalid !== null || status === STATUS.conflict) return;
    this.report('valid-refused', `${version} on ${base} was refused with ${status}`);
  }

  /** Checks a read that was sent when `newestBefore` was the newest version with an acknowledgement. */
  read({ version, routes }: ReadConfiguration, newestBefore: number): void {
    if (version < newestBefore)
      this.report('older-read', `${version} was read after the acknowledgement of ${newestBefore}`);
    const change = this.changes.get(version);
    if (change === undefined || this.refused.has(version) || change.invalid !== null)
      this.report(
        'refused-in-force',
        `${version} was read${change === undefined ? ', which nobody sent' : ''}`,
      );
    const marker = routes.get('marker');
    if (marker !== markerPrefix(version)) this.report('content', `${version} was read with marker ${marker}`);
  }

  /** Checks the last read: its version follows from every acknowledged one, and its content from theirs. */
  readAtEnd(read: ReadConfiguration): void {
    this.read(read, this.newestAcknowledged);
    const history = this.historyOf(read.version);
    const versions = new Set(history.map(({ version }) => version));
    for (const version of this.acknowledged) {
      if (!versions.has(version))
        this.report(
          'acknowledged-lost',
          `${version} was acknowledged; ${read.version} doesn't follow from it`,
        );
    }
    for (const version of versions) {
      if (this.refused.has(version)) this.report('refused-in-force', `${version} was refused`);
    }
    const expected = history.reduce<RoutePrefixes>(routesAfter, new Map());
    const wrong = [...new Set([...expected.keys(), ...read.routes.keys()])].filter(
      (name) => expected.get(name) !== read.routes.get(name),
    );
    if (wrong.length > 0)
      this.report('content', `${read.version} differs in ${wrong.length} routes, such as ${wrong[0]}`);
  }

  /** Changes that led to a version, the oldest first. */
  private historyOf(version: number): OperatorChange[] {
    const history: OperatorChange[] = [];
    let change = this.changes.get(version);
    while (change !== undefined) {
      history.push(change);
      change = this.changes.get(change.base);
    }
    return history.reverse();
  }
}
