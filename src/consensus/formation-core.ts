/**
 * Cluster formation: how control replicas with empty data folders form a cluster, and how a replica that lost
 * its folder is distinguished from a new one.
 *
 * The member whose name sorts first is the founder. It forms the cluster only after every other member has
 * answered that it is unformed, and the membership consists of the identities that answered. Every other member
 * adopts the founder's membership, or that of any member that has adopted it. A replica whose identity is not in
 * that membership has lost its folder and must join as a learner.
 *
 * A founder that loses its folder before any member adopted its membership starts over. A delayed answer from its
 * previous identity is ignored, because each member stores the identity of the last founder that queried it.
 */
import type { Membership, ReplicaId } from './raft-types.js';

/** Query whether the receiver belongs to a formed cluster. */
export interface FormationQuery {
  readonly kind: 'formation-query';
  readonly name: string;
  readonly id: ReplicaId;
}

/** Answer to a query. `membership` is null while the sender is unformed. */
export interface FormationAnswer {
  readonly kind: 'formation-answer';
  readonly name: string;
  readonly id: ReplicaId;
  readonly membership: Membership | null;
}

/** Messages of the formation protocol. */
export type FormationMessage = FormationQuery | FormationAnswer;

/** Result of formation at one replica; `stranger` is a replica that is not in the cluster's membership. */
export type FormationOutcome =
  | { readonly kind: 'undecided' }
  | { readonly kind: 'member'; readonly membership: Membership }
  | { readonly kind: 'stranger' };

/** The formation protocol of one replica. */
export class FormationCore {
  private readonly unformedPeers = new Map<string, ReplicaId>();
  private lastFounderId: ReplicaId | null = null;
  private result: FormationOutcome = { kind: 'undecided' };

  constructor(
    private readonly name: string,
    private readonly id: ReplicaId,
    private readonly memberNames: readonly string[],
  ) {
    this.formClusterIfFounder();
  }

  /** The result so far. */
  get outcome(): FormationOutcome {
    return this.result;
  }

  /** Returns the query to send to every other member while undecided. */
  query(): FormationQuery {
    return { kind: 'formation-query', name: this.name, id: this.id };
  }

  /** Answers another member's query. */
  answer(query: FormationQuery): FormationAnswer {
    if (query.name === this.founderName) this.lastFounderId = query.id;
    const membership = this.result.kind === 'member' ? this.result.membership : null;
    return { kind: 'formation-answer', name: this.name, id: this.id, membership };
  }

  /** Processes another member's answer. */
  receive(answer: FormationAnswer): void {
    if (this.result.kind !== 'undecided' || answer.name === this.name) return;
    if (answer.membership !== null) {
      this.adoptMembership(answer.membership, answer);
      return;
    }
    this.unformedPeers.set(answer.name, answer.id);
    this.formClusterIfFounder();
  }

  private get founderName(): string {
    return [...this.memberNames].sort()[0] ?? this.name;
  }

  private adoptMembership(membership: Membership, sender: FormationAnswer): void {
    const fromFounder = sender.name === this.founderName;
    const fromPreviousIdentity = this.lastFounderId !== null && sender.id !== this.lastFounderId;
    if (fromFounder && fromPreviousIdentity) return;
    const isMember = membership.voters.includes(this.id);
    this.result = isMember ? { kind: 'member', membership } : { kind: 'stranger' };
  }

  private formClusterIfFounder(): void {
    if (this.name !== this.founderName) return;
    const otherNames = this.memberNames.filter((name) => name !== this.name);
    const voters = otherNames.map((name) => this.unformedPeers.get(name));
    if (voters.includes(undefined)) return;
    const membership = { voters: [this.id, ...(voters as ReplicaId[])], learners: [] };
    this.result = { kind: 'member', membership };
  }
}
