/** Manages membership: replicas request to join, and the leader admits them one step at a time. */
import type { Replica } from '../consensus/replica.js';
import { replicaName, type ReplicaId } from '../consensus/raft-types.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import { nextDirectoryMembership } from './directory-membership.js';
import type { DirectorySettings } from './directory-settings.js';

/** Number of election timeouts without an answer after which a member yields to a joining replica of the same address. */
const INACTIVE_ELECTION_TIMEOUTS = 1;

/**
 * Number of election timeouts without an answer after which a voter may be replaced by a learner that has caught up. The
 * successor of a removed machine must be a voter before further disks may be lost, also after a change of leader, from
 * which the time without an answer counts anew.
 */
const REPLACEABLE_ELECTION_TIMEOUTS = 2;

/**
 * The same number while two or more voters do not answer. A process that is restarted within a second answers again by
 * then; if it were replaced instead of a voter that is gone, the loss of another disk would leave too few voters. With a
 * longer wait, the successors of two removed machines would vote too late.
 */
const REPLACEABLE_ELECTION_TIMEOUTS_OF_SEVERAL = 4;

/** Time in ms without an answer after which a learner is removed; a learner that writes a large snapshot is silent. */
const LEARNER_REMOVED_AFTER_MS = 4_000;

/** Maximum number of voters, unless the tolerated losses require more; further replicas stay learners. */
const DEFAULT_MAX_VOTERS = 5;

/** A replica's request to become a member. */
export interface JoinRequest {
  readonly kind: 'join-request';
  readonly id: ReplicaId;
}

/** Functions of the replica's node that membership depends on. */
export interface MembershipPorts {
  readonly id: ReplicaId;
  readonly settings: DirectorySettings;
  readonly runtime: Runtime;
  readonly log: EventLog;
  /** The consensus replica; null until formation has finished. */
  readonly replica: () => Replica | null;
  readonly leading: () => boolean;
  readonly hasRecentLeader: () => boolean;
  /** Address of the known leader; null when none is known. */
  readonly leaderAddress: () => string | null;
  readonly sendTo: (address: string, request: JoinRequest) => void;
}

/** Manages the membership on behalf of one replica. */
export class MembershipManager {
  private readonly candidates = new Map<string, ReplicaId>();
  private readonly knownAddresses: Set<string>;

  constructor(private readonly ports: MembershipPorts) {
    this.knownAddresses = new Set(ports.settings.seeds);
  }

  /** Adds replica addresses from reloaded settings. */
  addSeeds(seeds: readonly string[]): void {
    for (const seed of seeds) this.knownAddresses.add(seed);
  }

  /** Discards the candidates when this replica becomes leader; replicas repeat their join requests. */
  startLeading(): void {
    this.candidates.clear();
  }

  /**
   * Sends join requests unless this replica is a voter in contact with a leader. A replica that was removed while it was
   * partitioned is not notified, so a voter without contact to a leader sends them as well.
   */
  requestToJoin(): void {
    const { id, replica, hasRecentLeader, sendTo } = this.ports;
    const core = replica()?.core;
    if (core === undefined) return;
    for (const member of [...core.membership.voters, ...core.membership.learners]) {
      this.knownAddresses.add(replicaName(member));
    }
    if (core.membership.voters.includes(id) && hasRecentLeader()) return;
    for (const address of this.knownAddresses) sendTo(address, { kind: 'join-request', id });
  }

  /** Handles another replica's join request; replicas other than the leader forward it. */
  handleJoinRequest(id: ReplicaId): void {
    const { leading, hasRecentLeader, leaderAddress, sendTo } = this.ports;
    if (leading()) {
      this.candidates.set(replicaName(id), id);
      return;
    }
    const address = leaderAddress();
    const leaderIsElsewhere = address !== null && address !== replicaName(id);
    if (leaderIsElsewhere && hasRecentLeader()) sendTo(address, { kind: 'join-request', id });
  }

  /** Leader only: proposes the next step towards a membership of responsive replicas. */
  proposeNextMembership(replica: Replica): void {
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
        return this.msSinceLastAnswer(replica, peer) < INACTIVE_ELECTION_TIMEOUTS * timing.electionTimeoutMs;
      },
      candidates: [...this.candidates.values()],
      maxVoters: Math.max(DEFAULT_MAX_VOTERS, 2 * toleratedLosses + 1),
      lostVoters: this.lostVoters(replica),
      isLostLearner: (peer) => this.msSinceLastAnswer(replica, peer) > LEARNER_REMOVED_AFTER_MS,
    });
    if (membership === null) return;
    log.event('membership-proposed', { membership });
    replica.submit({ kind: 'change-membership', membership });
  }

  /** Voters that may be replaced, the longest silent first. */
  private lostVoters(replica: Replica): ReplicaId[] {
    const { electionTimeoutMs } = this.ports.settings.timing;
    const silenceMs = (id: ReplicaId): number => this.msSinceLastAnswer(replica, id);
    const inactive = replica.core.membership.voters.filter(
      (id) => silenceMs(id) >= INACTIVE_ELECTION_TIMEOUTS * electionTimeoutMs,
    );
    const minElectionTimeouts =
      inactive.length > 1 ? REPLACEABLE_ELECTION_TIMEOUTS_OF_SEVERAL : REPLACEABLE_ELECTION_TIMEOUTS;
    return inactive
      .filter((id) => silenceMs(id) > minElectionTimeouts * electionTimeoutMs)
      .sort((left, right) => silenceMs(right) - silenceMs(left));
  }

  private msSinceLastAnswer({ core }: Replica, peer: ReplicaId): number {
    if (peer === this.ports.id) return 0;
    const nowMs = this.ports.runtime.nowMs();
    return nowMs - (core.peerProgress(peer)?.lastAnswerMs ?? nowMs);
  }
}
