/**
 * Guards against messages that a process of another version cannot read: it closes the connection, and a replica of the
 * earlier version would then be cut off during an upgrade.
 */
import test from 'ava';
import { parsePeerMessage } from '../../src/control/peer-messages.js';

const HEAD = { from: 'a/1', to: 'b/1', term: 3, round: 7 };
const POSITION = { index: 4, term: 2, membership: { voters: ['a/1'], learners: [] } };

const MESSAGES = [
  { kind: 'snapshot-part', ...HEAD, position: POSITION, offset: 0, totalBytes: 9, content: 'eA==' },
  { kind: 'snapshot-part-answer', ...HEAD, index: 4, offset: 3 },
  { kind: 'append-answer', ...HEAD, success: true, matchIndex: 4, snapshotParts: true },
  { kind: 'append-answer', ...HEAD, success: true, matchIndex: 4 },
];

for (const message of MESSAGES) {
  test(`read unchanged: ${Object.keys(message).join(', ')}`, (t) => {
    t.deepEqual(parsePeerMessage(message), message as never);
  });
}

test('members that a later version adds are ignored', (t) => {
  const [answer] = MESSAGES.slice(-1);
  t.deepEqual(parsePeerMessage({ ...answer, added: 1 }), answer as never);
});

test('parts and answers without a place or with a negative one are refused', (t) => {
  for (const message of MESSAGES.slice(0, 2)) {
    t.is(parsePeerMessage({ ...message, offset: -1 }), null);
    t.is(parsePeerMessage({ ...message, offset: undefined }), null);
  }
});
