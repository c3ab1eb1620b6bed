import test from 'ava';
import type { ControlCommand } from '../../src/control/commands.js';
import { emptyControlState } from '../../src/control/control-state.js';
import { MoveReports } from '../../src/control/move-reports.js';
import { ServiceShards } from '../../src/control/service-shards.js';
import { emptyShardRow } from '../../src/model/shard.js';

const MOVE_ID = 7;
const CANCEL = { kind: 'cancel-move', service: 'stock', shard: 0, moveId: MOVE_ID } as const;

test('a report is proposed once while in flight, and not at all when it does not match the move', async (t) => {
  const state = emptyControlState();
  const row = { ...emptyShardRow(0), owner: 'one', session: 1, movingTo: 'two', moveId: MOVE_ID };
  state.shards.set('stock', new ServiceShards([row]));
  const proposed: ControlCommand[] = [];
  let settle: () => void = () => undefined;
  const reports = new MoveReports(
    () => state,
    async (command) => {
      proposed.push(command);
      await new Promise<void>((resolve) => (settle = resolve));
    },
  );
  t.true(reports.proposeReport(CANCEL));
  t.false(reports.proposeReport(CANCEL), 'repeated report');
  t.false(reports.proposeReport({ ...CANCEL, moveId: MOVE_ID - 1 }), 'report of an earlier move');
  t.false(reports.proposeReport({ ...CANCEL, service: 'other' }));
  settle();
  await new Promise((resolve) => setImmediate(resolve));
  t.true(reports.proposeReport(CANCEL), 'the proposal had no effect');
  state.shards.get('stock')?.set({ ...row, movingTo: null, moveId: 0 });
  settle();
  await new Promise((resolve) => setImmediate(resolve));
  t.false(reports.proposeReport(CANCEL), 'the move is over');
  t.is(proposed.length, 2);
});
