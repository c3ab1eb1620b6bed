/** Daemons' requests that only the leader can answer: taken here where this replica leads, and passed on where it does not. */
import type { Connection } from '../runtime/runtime.js';
import type { DirectoryLeader } from './directory-leader.js';
import type { LeaderRequest, RelayedNotice, RelayedRequest } from './directory-messages.js';
import { RelayTable } from './relay-table.js';

/** What is needed of the replica. */
export interface LeaderRequestsPorts {
  /** This replica's address. */
  readonly name: string;
  readonly leading: () => boolean;
  /** Address of another replica that leads and was heard lately; null where none is known. */
  readonly leaderElsewhere: () => string | null;
  readonly leader: DirectoryLeader;
  readonly sendTo: (address: string, message: RelayedRequest | RelayedNotice) => void;
}

/** The requests of one replica's daemons. */
export class LeaderRequests {
  private readonly relays = new RelayTable();

  constructor(private readonly ports: LeaderRequestsPorts) {}

  /** Takes a request of a daemon; dropped where nobody is known to lead, since daemons ask again. */
  take(request: LeaderRequest, connection: Connection): void {
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

  /** Takes what another replica passed on, or the answer to what was passed on from here. */
  takeRelayed(message: RelayedRequest | RelayedNotice): void {
    if (message.kind === 'relayed-notice') this.relays.take(message.token)?.send(message.notice);
    else if (this.ports.leading()) this.answerRelayed(message);
  }

  /** A daemon's connection has closed. */
  forget(connection: Connection): void {
    this.relays.forget(connection);
  }

  private answerRelayed({ origin, token, request }: RelayedRequest): void {
    void this.ports.leader.receive(request, (notice) => {
      this.ports.sendTo(origin, { kind: 'relayed-notice', token, notice });
    });
  }
}
