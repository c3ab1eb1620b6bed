/** Estimated waits for a slow network link. */
import test from 'ava';
import { LinkWaitEstimator, type LinkQueue } from '../../src/sidecar/link-wait-estimator.js';

const BYTES = 80_000;

/** A link that carries 500 bytes per ms. */
function queue(backlogMs: number): LinkQueue {
  return { backlogMs, sendingMs: (bytes) => bytes / 500 };
}

test('expected answers delay a new one, as those on the link do', (t) => {
  const link = new LinkWaitEstimator<string>(queue(100));
  t.is(link.sendMs(null, BYTES, 0), 260);
  link.accept('first', BYTES);
  link.accept('second', BYTES);
  t.is(link.waitMs, 420);
  t.is(link.sendMs(null, BYTES, 0), 580);
  t.is(link.sendMs('second', BYTES, 0), 420, 'an answer does not delay itself');
});

test('the queue ahead of an answer drains during its work', (t) => {
  const link = new LinkWaitEstimator<string>(queue(100));
  link.accept('first', BYTES);
  t.is(link.sendMs(null, BYTES, 200), 220);
  t.is(link.sendMs(null, BYTES, 1_000), 160);
});

test('an expected answer counts once, until it is removed', (t) => {
  const link = new LinkWaitEstimator<string>(queue(0));
  link.accept('first', BYTES);
  link.accept('first', BYTES);
  t.is(link.waitMs, 160, 'a repeated call replaces the first');
  link.forget('first');
  link.forget('first');
  t.is(link.waitMs, 0);
});

test('small answers and fast links have no wait', (t) => {
  const slow = new LinkWaitEstimator<string>(queue(100));
  slow.accept('small', 500);
  t.is(slow.waitMs, 100);
  t.is(slow.sendMs(null, 500, 0), 0);
  const fast = new LinkWaitEstimator<string>(null);
  fast.accept('large', BYTES);
  t.is(fast.waitMs, 0);
  t.is(fast.sendMs(null, BYTES, 0), 0);
});

test('the wait can be given without the answer of one owner', (t) => {
  const link = new LinkWaitEstimator<string>(queue(100));
  link.accept('own', BYTES);
  link.accept('other', BYTES);
  t.is(link.waitMs, 420);
  t.is(link.waitMsExcluding('own'), 260);
});
