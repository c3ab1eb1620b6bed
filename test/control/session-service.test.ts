import test from 'ava';
import type { ControlCommand } from '../../src/control/commands.js';
import { emptyControlState } from '../../src/control/control-state.js';
import type { ControlNotice } from '../../src/control/daemon-messages.js';
import { LeaseTable } from '../../src/control/lease-table.js';
import { LoadTable } from '../../src/control/load-table.js';
import { Proposals } from '../../src/control/proposals.js';
import { SessionService } from '../../src/control/session-service.js';
import { nodeRuntime } from '../../src/runtime/node-runtime.js';

const TERM_MS = 1_500;

class Leader {
  nowMs = 0;
  readonly state = emptyControlState();
  readonly ended: number[][] = [];
  readonly proposed: string[] = [];
  readonly notices: ControlNotice[] = [];
  readonly confirmations: number[] = [];
  private readonly connection = {
    send: (message: unknown) => void this.notices.push(message as ControlNotice),
    sendEncoded: () => undefined,
    close: () => undefined,
  };
  private readonly proposals: Proposals = new Proposals(
    { ...nodeRuntime, after: () => () => undefined },
    (_id, command: ControlCommand) => {
      this.proposed.push(command.kind);
      if (command.kind === 'close-sessions') this.ended.push([...command.sessions]);
    },
  );
  readonly sessions = new SessionService(
    TERM_MS,
    new LeaseTable(TERM_MS),
    {
      state: () => this.state,
      confirmLeadership: (requestId) => void this.confirmations.push(requestId),
      steadyMs: () => this.nowMs,
      wallMs: () => 0,
    },
    this.proposals,
    new LoadTable(),
  );

  constructor(count: number) {
    const service = { backends: { b1: {} } } as never;
    this.state.configuration = { revision: 1, document: { version: 1, services: { s: service } } };
    for (let id = 1; id <= count; id += 1) {
      const agentAddress = { host: '10.0.0.1', port: 1 };
      this.state.sessions.set(id, { id, backend: `b${id}`, service: 's', openId: `o${id}`, agentAddress });
    }
    this.sessions.startLeading();
  }

  open(openId: string): void {
    const agentAddress = { host: '10.0.0.1', port: 1 };
    const request = { kind: 'open-session', openId, service: 's', backend: 'b1', agentAddress } as const;
    void this.sessions.open(request, this.connection);
  }

  renew(session: number): void {
    this.sessions.renew({ kind: 'renew-session', session, sentMs: 7, load: [] }, this.connection);
  }
}

test('a renewal is answered only when leadership is confirmed after its arrival', (t) => {
  const leader = new Leader(1);
  leader.renew(1);
  t.deepEqual(leader.notices, []);
  leader.sessions.confirmed(leader.confirmations[0] ?? 0);
  t.deepEqual(leader.notices, [{ kind: 'session-renewed', session: 1, sentMs: 7, termMs: TERM_MS }]);
});

test('a new leader expires no session for one full lease term', (t) => {
  const leader = new Leader(1);
  leader.nowMs = TERM_MS;
  leader.sessions.expire();
  t.deepEqual(leader.ended, []);
  leader.nowMs = TERM_MS + 1;
  leader.sessions.expire();
  t.deepEqual(leader.ended, [[1]]);
});

test('when many leases expire together, few sessions are closed per run, and a late renewal keeps the others', (t) => {
  const leader = new Leader(30);
  leader.nowMs = TERM_MS + 1;
  leader.sessions.expire();
  t.is(leader.ended.flat().length, 8);
  for (let id = 9; id <= 30; id += 1) leader.renew(id);
  leader.sessions.confirmed(leader.confirmations[0] ?? 0);
  for (let run = 0; run < 5; run += 1) leader.sessions.expire();
  t.is(leader.ended.flat().length, 8);
});

test('a session whose closing was proposed is never renewed', (t) => {
  const leader = new Leader(1);
  leader.nowMs = TERM_MS + 1;
  leader.sessions.expire();
  leader.renew(1);
  t.deepEqual(leader.notices, [{ kind: 'session-ended', session: 1 }]);
});

test('asking again for a session is answered at once, without a log entry and without extending the lease', (t) => {
  const leader = new Leader(1);
  leader.nowMs = TERM_MS;
  leader.open('o1');
  t.deepEqual(leader.notices, [{ kind: 'session-opened', openId: 'o1', session: 1, termMs: TERM_MS }]);
  t.deepEqual(leader.proposed, []);
  leader.nowMs = TERM_MS + 1;
  leader.sessions.expire();
  t.deepEqual(leader.ended, [[1]]);
  leader.open('another');
  t.deepEqual(leader.proposed, ['close-sessions', 'open-session']);
});

test('a lost zone is ended at once, a storm at a bounded rate', (t) => {
  const leader = new Leader(500);
  const runUntil = (untilMs: number): number => {
    for (; leader.nowMs <= untilMs; leader.nowMs += 100) leader.sessions.expire();
    return leader.ended.flat().length;
  };
  leader.nowMs = TERM_MS + 1;
  t.is(runUntil(TERM_MS + 700), 56, 'eight sessions in each of seven runs');
  t.true(runUntil(TERM_MS + 10_700) <= 64 + 11 * 12);
});
