/** Dispatches requests of agents and routers to the component of the replica that handles them. */
import type { Hello } from '../transport/hello.js';
import { answerRunRequest, type RunRequestPorts } from '../quarantine/crash-messages.js';
import type { Connection } from '../runtime/runtime.js';
import type { ControlState } from './control-state.js';
import {
  daemonRequestSchema,
  type ControlNotice,
  type DaemonRequest,
  type WatchRequest,
} from './daemon-messages.js';
import type { CommandOutcome, ControlCommand } from './commands.js';
import { MoveReports } from './move-reports.js';
import type { ProposalError } from './proposals.js';
import type { Result } from '../result.js';
import type { SessionService } from './session-service.js';
import type { WatchHub } from './watch-hub.js';

type SessionRequest = Exclude<DaemonRequest, { kind: 'watch' | 'watched' }>;

/** Dependencies of the gateway on its replica. */
export interface GatewayPorts {
  readonly state: () => ControlState;
  /** Index of the last entry applied to the state. */
  readonly appliedIndex: () => number;
  /** Whether this replica is current and has applied all committed entries, so that it can serve watchers. */
  readonly canServeWatchers: () => boolean;
  /** Whether this replica is the leader and has started its duties in the current term. */
  readonly isActiveLeader: () => boolean;
  readonly leaderName: () => string | null;
  readonly wallMs: () => number;
  readonly propose: (command: ControlCommand) => Promise<Result<CommandOutcome, ProposalError>>;
}

/** Gateway of one replica. */
export class DaemonGateway {
  /** Number of unreadable messages; their connections were closed. */
  unreadableMessages = 0;
  private readonly moveReports: MoveReports;
  private readonly runRequests: RunRequestPorts = {
    records: () => this.ports.state().crashRecords,
    propose: async (command) => {
      const result = await this.ports.propose(command);
      return result.ok && result.val.kind === 'done';
    },
  };

  constructor(
    private readonly ports: GatewayPorts,
    private readonly sessions: SessionService,
    private readonly hub: WatchHub,
  ) {
    this.moveReports = new MoveReports(ports.state, ports.propose);
  }

  /** Handles one message. */
  receive(message: unknown, hello: Hello, connection: Connection): void {
    const parsed = daemonRequestSchema.safeParse(message);
    if (!parsed.success) {
      this.unreadableMessages += 1;
      connection.close('unreadable message');
      return;
    }
    const request = parsed.data;
    switch (request.kind) {
      case 'watch':
        this.watch(request, hello, connection);
        break;
      case 'watched':
        this.hub.acknowledge(connection, request.index, request.revision);
        break;
      default:
        this.handleLeaderRequest(request, connection);
    }
  }

  private handleLeaderRequest(request: SessionRequest, connection: Connection): void {
    if (!this.ports.isActiveLeader()) {
      const notice: ControlNotice = { kind: 'not-leader', leader: this.ports.leaderName() };
      connection.send(notice);
      return;
    }
    switch (request.kind) {
      case 'open-session':
        void this.sessions.open(request, connection);
        break;
      case 'renew-session':
        this.sessions.renew(request, connection);
        break;
      case 'close-session':
        this.sessions.close(request.session);
        break;
      case 'session-leaving':
        void this.ports.propose({ kind: 'mark-leaving', session: request.session });
        break;
      case 'move-released':
        this.moveReports.proposeReport({ ...request, kind: 'complete-move', wallMs: this.ports.wallMs() });
        break;
      case 'move-refused':
        this.moveReports.proposeReport({ ...request, kind: 'cancel-move' });
        break;
      default:
        void answerRunRequest(request, this.runRequests, (notice) => {
          connection.send(notice);
        });
    }
  }

  private watch(request: WatchRequest, hello: Hello, connection: Connection): void {
    const appliedIndex = this.ports.appliedIndex();
    const reason = !this.ports.canServeWatchers()
      ? 'no-leader'
      : request.fromIndex > appliedIndex
        ? 'behind'
        : null;
    if (reason !== null) {
      const notice: ControlNotice = { kind: 'watch-refused', reason };
      connection.send(notice);
      return;
    }
    const watcher = { hello, connection, scope: request.scope, index: 0, revision: 0 };
    this.hub.add(watcher, request.fromIndex, this.ports.state(), appliedIndex);
  }
}
