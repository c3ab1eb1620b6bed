/** What is to be expected of a slow network link. */
import test from 'ava';
import { LinkOutlook, type LinkQueue } from '../../src/sidecar/link-outlook.js';

const BYTES = 80_000;

/** A link that carries 500 bytes a ms. */
function queue(backlogMs: number): LinkQueue {
  return { backlogMs, sendingMs: (bytes) => bytes / 500 };
}

test('answers that are being worked on stand before a new one, as those on the link do', (t) => {
  const link = new LinkOutlook<string>(queue(100));
  t.is(link.sendMs(null, BYTES, 0), 260);
  link.accept('first', BYTES);
  link.accept('second', BYTES);
  t.is(link.waitMs, 420);
  t.is(link.sendMs(null, BYTES, 0), 580);
  t.is(link.sendMs('second', BYTES, 0), 420, 'an answer does not stand before itself');
});

test('what stands before an answer passes while it is made', (t) => {
  const link = new LinkOutlook<string>(queue(100));
  link.accept('first', BYTES);
  t.is(link.sendMs(null, BYTES, 200), 220);
  t.is(link.sendMs(null, BYTES, 1_000), 160);
});

test('an answer that came, or will not come, is forgotten', (t) => {
  const link = new LinkOutlook<string>(queue(0));
  link.accept('first', BYTES);
  link.accept('first', BYTES);
  t.is(link.waitMs, 160, 'it counts once');
  link.forget('first');
  link.forget('first');
  t.is(link.waitMs, 0);
});

test('small answers and fast links wait for nothing', (t) => {
  const slow = new LinkOutlook<string>(queue(100));
  slow.accept('small', 500);
  t.is(slow.waitMs, 100);
  t.is(slow.sendMs(null, 500, 0), 0);
  const fast = new LinkOutlook<string>(null);
  fast.accept('large', BYTES);
  t.is(fast.waitMs, 0);
  t.is(fast.sendMs(null, BYTES, 0), 0);
});

test('the queue for the link is told without what one sends itself', (t) => {
  const link = new LinkOutlook<string>(queue(100));
  link.accept('own', BYTES);
  link.accept('other', BYTES);
  t.is(link.waitMs, 420);
  t.is(link.waitMsBeside('own'), 260);
});
