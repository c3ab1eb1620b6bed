/**
 * How control replicas with empty data folders become a cluster, and how one that lost its folder is told
 * apart from one that is new.
 *
 * The member whose name sorts first is the founder. It founds only after every other member has answered
 * that it is unformed, and it names the identities that answered. Every other member takes the founder's
 * membership, or that of any member that has taken it. A replica whose identity is not in that membership
 * lost its folder and must join as a learner.
 *
 * A founder that loses its folder before anyone took its membership asks anew. A late answer of its
 * earlier life is ignored, because a member remembers the identity of the last founder that asked it.
 */
import type { Membership, ReplicaId } from './raft-types.js';

/** Asks whether the receiver is formed. */
export interface FormationQuery {
  readonly kind: 'formation-query';
  readonly name: string;
  readonly id: ReplicaId;
}

/** Answers a query. `membership` is null while the sender is unformed. */
export interface FormationAnswer {
  readonly kind: 'formation-answer';
  readonly name: string;
  readonly id: ReplicaId;
  readonly membership: Membership | null;
}

/** Messages of formation. */
export type FormationMessage = FormationQuery | FormationAnswer;

/** What a replica has found out about its cluster. */
export type FormationOutcome =
  | { readonly kind: 'undecided' }
  | { readonly kind: 'member'; readonly membership: Membership }
  | { readonly kind: 'stranger' };

/** The formation protocol of one replica. */
export class FormationCore {
  private readonly unformedPeers = new Map<string, ReplicaId>();
  private lastFounderSeen: ReplicaId | null = null;
  private result: FormationOutcome = { kind: 'undecided' };

  constructor(
    private readonly name: string,
    private readonly id: ReplicaId,
    private readonly memberNames: readonly string[],
  ) {
    this.decideAsFounder();
  }

  /** What is known by now. */
  get outcome(): FormationOutcome {
    return this.result;
  }

  /** The question to put to every other member while undecided. */
  query(): FormationQuery {
    return { kind: 'formation-query', name: this.name, id: this.id };
  }

  /** Answers another member's question. */
  answer(query: FormationQuery): FormationAnswer {
    if (query.name === this.founderName) this.lastFounderSeen = query.id;
    const membership = this.result.kind === 'member' ? this.result.membership : null;
    return { kind: 'formation-answer', name: this.name, id: this.id, membership };
  }

  /** Takes another member's answer. */
  receive(answer: FormationAnswer): void {
    if (this.result.kind !== 'undecided' || answer.name === this.name) return;
    if (answer.membership !== null) {
      this.takeMembership(answer.membership, answer);
      return;
    }
    this.unformedPeers.set(answer.name, answer.id);
    this.decideAsFounder();
  }

  private get founderName(): string {
    return [...this.memberNames].sort()[0] ?? this.name;
  }

  private takeMembership(membership: Membership, sender: FormationAnswer): void {
    const fromFounder = sender.name === this.founderName;
    const fromEarlierLife = this.lastFounderSeen !== null && sender.id !== this.lastFounderSeen;
    if (fromFounder && fromEarlierLife) return;
    const isMember = membership.voters.includes(this.id);
    this.result = isMember ? { kind: 'member', membership } : { kind: 'stranger' };
  }

  private decideAsFounder(): void {
    if (this.name !== this.founderName) return;
    const others = this.memberNames.filter((name) => name !== this.name);
    const voters = others.map((name) => this.unformedPeers.get(name));
    if (voters.includes(undefined)) return;
    const membership = { voters: [this.id, ...(voters as ReplicaId[])], learners: [] };
    this.result = { kind: 'member', membership };
  }
}
