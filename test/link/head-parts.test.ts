/** Parts of heads that are left out, and come back. */
import test from 'ava';
import * as fc from 'fast-check';
import { withoutExcess, withoutRequestId, withRequestId } from '../../src/link/head-parts.js';
import type { AnswerHead, RequestHead } from '../../src/link/link-messages.js';

test('an answer gets the id of its request back, whatever its headers are', (t) => {
  const headers = fc.array(fc.tuple(fc.string(), fc.constantFrom('', 'id', 'other')));
  fc.assert(
    fc.property(headers, (pairs) => {
      const head = { statusCode: 200, headers: pairs.flat() } as unknown as AnswerHead;
      t.deepEqual(withRequestId(withoutRequestId(head, 'id'), 'id'), head);
    }),
    { seed: 3, numRuns: 100 },
  );
  const impossible = { statusCode: 200, headers: ['a', 'b'], requestIdAt: 9 } as unknown as AnswerHead;
  t.deepEqual(withRequestId(impossible, 'id').headers, ['a', 'b']);
});

test('the length of a body is left out only if there is a body', (t) => {
  const headers = ['Content-Length', '4', 'Host', 'content-length'];
  const head = {
    headers,
    remainingMs: 10.9,
    patienceMs: 0,
    targetLeftMs: -0.5,
    spentMs: 1,
  } as unknown as RequestHead;
  t.deepEqual(withoutExcess(head, 4).headers, ['Host', 'content-length']);
  t.deepEqual(withoutExcess(head, 0).headers, headers);
  t.like(withoutExcess(head, 0), { remainingMs: 10, targetLeftMs: -1 });
});
