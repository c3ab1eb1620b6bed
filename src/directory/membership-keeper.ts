/** Which replicas vote: a replica asks to be made a member, and a leader admits those that ask one step at a time. */
import type { Replica } from '../consensus/replica.js';
import { replicaName, type ReplicaId } from '../consensus/raft-types.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import { nextDirectoryMembership } from './directory-membership.js';
import type { DirectorySettings } from './directory-settings.js';

/** A member that did not answer for this many election timeouts counts as gone when its namesake joins. */
const INACTIVE_ELECTION_TIMEOUTS = 1;

/** A voter that did not answer for this long, in ms, gives way to a replica that stands ready. */
const LOST_AFTER_MS = 4_000;

/** Fewest places for voters; more replicas than tolerated losses need stay learners beyond them. */
const USUAL_VOTERS = 5;

/** A replica's request to be made a member. */
export interface JoinRequest {
  readonly kind: 'join-request';
  readonly id: ReplicaId;
}

/** What is needed of the replica's node. */
export interface MembershipPorts {
  readonly id: ReplicaId;
  readonly settings: DirectorySettings;
  readonly runtime: Runtime;
  readonly log: EventLog;
  /** The consensus replica; null while the replicas are being formed. */
  readonly replica: () => Replica | null;
  readonly leading: () => boolean;
  readonly hearsLeader: () => boolean;
  /** Address of the replica that leads, as far as is known. */
  readonly leaderAddress: () => string | null;
  readonly sendTo: (address: string, request: JoinRequest) => void;
}

/** The membership as one replica sees to it. */
export class MembershipKeeper {
  private readonly candidates = new Map<string, ReplicaId>();
  private readonly knownReplicas: Set<string>;

  constructor(private readonly ports: MembershipPorts) {
    this.knownReplicas = new Set(ports.settings.seeds);
  }

  /** Adds addresses of replicas, from settings that were read again. */
  addSeeds(seeds: readonly string[]): void {
    for (const seed of seeds) this.knownReplicas.add(seed);
  }

  /** This replica has become leader; who wants to join asks again. */
  startLeading(): void {
    this.candidates.clear();
  }

  /** A replica that was removed while it was cut off is not told, so one that hears no leader asks as well. */
  requestToJoin(): void {
    const { id, replica, hearsLeader, sendTo } = this.ports;
    const core = replica()?.core;
    if (core === undefined) return;
    for (const member of [...core.membership.voters, ...core.membership.learners]) {
      this.knownReplicas.add(replicaName(member));
    }
    if (core.membership.voters.includes(id) && hearsLeader()) return;
    for (const address of this.knownReplicas) sendTo(address, { kind: 'join-request', id });
  }

  /** Another replica wants to join; one that does not lead passes that on. */
  takeRequest(id: ReplicaId): void {
    const { leading, hearsLeader, leaderAddress, sendTo } = this.ports;
    if (leading()) {
      this.candidates.set(replicaName(id), id);
      return;
    }
    const address = leaderAddress();
    const leaderIsElsewhere = address !== null && address !== replicaName(id);
    if (leaderIsElsewhere && hearsLeader()) sendTo(address, { kind: 'join-request', id });
  }

  /** As leader: proposes the next step towards a membership of replicas that answer. */
  advance(replica: Replica): void {
    const { core } = replica;
    const { settings, log } = this.ports;
    const { timing, toleratedLosses } = settings;
    for (const [name, id] of this.candidates) {
      if (core.membership.voters.includes(id)) this.candidates.delete(name);
    }
    const membership = nextDirectoryMembership({
      membership: core.membership,
      commitIndex: core.commitIndex,
      matchIndexOf: (peer) => core.peerProgress(peer)?.matchIndex ?? null,
      isActive: (peer) => {
        return this.silentMs(replica, peer) < INACTIVE_ELECTION_TIMEOUTS * timing.electionTimeoutMs;
      },
      candidates: [...this.candidates.values()],
      maxVoters: Math.max(USUAL_VOTERS, 2 * toleratedLosses + 1),
      isLost: (peer) => this.silentMs(replica, peer) > LOST_AFTER_MS,
    });
    if (membership === null) return;
    log.event('membership-proposed', { membership });
    replica.submit({ kind: 'change-membership', membership });
  }

  private silentMs({ core }: Replica, peer: ReplicaId): number {
    if (peer === this.ports.id) return 0;
    const nowMs = this.ports.runtime.nowMs();
    return nowMs - (core.peerProgress(peer)?.lastAnswerMs ?? nowMs);
  }
}
