/** Handles daemons' requests that only the leader can answer: locally on the leader, by relaying on other replicas. */
import type { Connection } from '../runtime/runtime.js';
import type { DirectoryLeader } from './directory-leader.js';
import type { LeaderRequest, RelayedNotice, RelayedRequest } from './directory-messages.js';
import { RelayTable } from './relay-table.js';

/** Functions of the replica that the relay depends on. */
export interface LeaderRequestRelayPorts {
  /** Address of this replica. */
  readonly name: string;
  readonly leading: () => boolean;
  /** Address of the leader if it is another replica and was recently in contact; null otherwise. */
  readonly leaderElsewhere: () => string | null;
  readonly leader: DirectoryLeader;
  readonly sendTo: (address: string, message: RelayedRequest | RelayedNotice) => void;
}

/** Routes the requests of the daemons that are connected to one replica. */
export class LeaderRequestRelay {
  private readonly relays = new RelayTable();

  constructor(private readonly ports: LeaderRequestRelayPorts) {}

  /** Handles or relays a daemon's request. It is dropped when no leader is known, since daemons send it again. */
  handle(request: LeaderRequest, connection: Connection): void {
    if (this.ports.leading()) {
      void this.ports.leader.receive(request, (notice) => {
        connection.send(notice);
      });
      return;
    }
    const leader = this.ports.leaderElsewhere();
    if (leader === null) return;
    const token = this.relays.add(connection);
    this.ports.sendTo(leader, { kind: 'relayed-request', origin: this.ports.name, token, request });
  }

  /** Handles a request relayed by another replica, or the answer to a request relayed by this one. */
  handleRelayed(message: RelayedRequest | RelayedNotice): void {
    if (message.kind === 'relayed-notice') this.relays.takeConnection(message.token)?.send(message.notice);
    else if (this.ports.leading()) this.answerRelayed(message);
  }

  /** Discards the pending requests of a closed connection. */
  forget(connection: Connection): void {
    this.relays.forget(connection);
  }

  private answerRelayed({ origin, token, request }: RelayedRequest): void {
    void this.ports.leader.receive(request, (notice) => {
      this.ports.sendTo(origin, { kind: 'relayed-notice', token, notice });
    });
  }
}
