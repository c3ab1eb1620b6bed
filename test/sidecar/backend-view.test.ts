/** What a sidecar concludes from the status of a back end. */
import test from 'ava';
import type { StatusHead } from '../../src/link/link-messages.js';
import { BackendView } from '../../src/sidecar/backend-view.js';

const STATUS: StatusHead = {
  instance: 'life-1',
  running: 0,
  waiting: 0,
  slots: 6,
  serviceMs: 50,
  accepting: true,
  sendWaitMs: 0,
  pacing: null,
  pace: 1,
  meanPace: 1,
};

test('a back end whose rate is limited has no capacity before its next turn', (t) => {
  const view = new BackendView();
  const pacing = { delayMs: 200, intervalMs: 250, leftMs: 10_000 };
  view.recordStatus({ ...STATUS, pacing, limitPerSecond: 4 }, 0);
  t.false(view.hasCapacity(6, 100));
  t.is(view.startDelayMs(100), 100);
  view.recordSent();
  t.is(view.startDelayMs(100), 350);
  t.true(view.hasCapacity(6, 500));
});

test('the known limit outlives statuses of a daemon that has restarted, until one reports that there is none', (t) => {
  const view = new BackendView();
  view.recordStatus({ ...STATUS, limitPerSecond: 2.5 }, 0);
  view.recordStatus({ ...STATUS, limitPerSecond: null }, 10);
  t.is(view.knownLimitPerSecond, 2.5);
  view.recordStatus(STATUS, 20);
  t.is(view.knownLimitPerSecond, null);
});

test('the wait for the link counts the answers requested since the status, and drains as the status ages', (t) => {
  const view = new BackendView();
  view.recordStatus({ ...STATUS, sendWaitMs: 300 }, 0);
  view.recordSent(90_000);
  view.recordSent(500);
  t.is(view.sendWaitMs(100, 900), 300);
  t.is(view.sendWaitMs(1_000, 900), 100);
  view.recordLinkLost();
  t.is(view.sendWaitMs(1_000, 900), 0, 'what was sent over a link that is lost is not answered');
  view.recordStatus({ ...STATUS, sendWaitMs: 5_000 }, 1_000);
  t.is(view.sendWaitMs(3_000, 900), 0, 'a status expires');
});

test('a report that the incarnation is replaced ends with a status of it, or like a status', (t) => {
  const view = new BackendView();
  t.false(view.isReplaced(0));
  view.recordReplaced(0);
  t.true(view.isReplaced(1_900));
  t.false(view.isReplaced(2_100));
  view.recordReplaced(3_000);
  view.recordStatus(STATUS, 3_010);
  t.false(view.isReplaced(3_020));
});
