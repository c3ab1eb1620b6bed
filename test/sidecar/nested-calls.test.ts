/** Identification of calls, and what they inherit. */
import test from 'ava';
import {
  limitsOfCall,
  nestedHeadOf,
  readNested,
  RunningRequests,
  type RunningRequest,
} from '../../src/sidecar/nested-calls.js';

const NOW_MS = 1_000;

function running(requestId: string, parts: Partial<RunningRequest> = {}): RunningRequest {
  return { requestId, route: 'order', priority: 2, deadlineMs: NOW_MS + 700, isCall: false, ...parts };
}

function arrived(requestId: string, statedDeadlineMs: number | null = null, route = 'read') {
  return { requestId, route, statedDeadlineMs };
}

/** Requests of which one has the deadline of a running request, in the number that marks a route as called. */
function learnByDeadline(requests: RunningRequests): void {
  for (let seen = 0; seen < 10; seen += 1) requests.findParent(arrived(`x${seen}`, 701), NOW_MS);
}

test('only an id that begins with that of a running request, a dot and a further id is that of a call', (t) => {
  const requests = new RunningRequests();
  const parent = running('993f');
  requests.begin(parent);
  t.is(requests.findParent(arrived('993f.995e'), NOW_MS)?.request, parent);
  t.is(requests.findParent(arrived('993f.995e.1'), NOW_MS)?.request, parent);
  for (const id of ['993f', '993f.', '993f4.1', '99.3f', '.993f', 'x.993f.1', '.', ''])
    t.is(requests.findParent(arrived(id), NOW_MS), null, id);
  requests.end(parent);
  t.is(requests.findParent(arrived('993f.995e'), NOW_MS), null, 'an ended request has no calls');
});

test('a call of a call inherits from the first request of the chain', (t) => {
  const requests = new RunningRequests();
  requests.begin(running('a', { priority: 2 }));
  requests.begin(running('a.b', { priority: 0, isCall: true, deadlineMs: NOW_MS + 300 }));
  const parent = requests.findParent(arrived('a.b.c'), NOW_MS);
  t.deepEqual(parent && nestedHeadOf(parent, NOW_MS + 100), { priority: 0, remainingMs: 200 });
});

test('a deadline identifies a call only after the route was seen to be called, and counts when it was wrong', (t) => {
  const requests = new RunningRequests();
  const parent = running('a');
  requests.begin(parent);
  t.is(requests.findParent(arrived('x', 701), NOW_MS), null, 'one coincidence proves nothing');
  learnByDeadline(requests);
  const found = requests.findParent(arrived('y', 701), NOW_MS);
  t.is(found?.request, parent);
  t.is(requests.findParent(arrived('y', 720), NOW_MS), null);
  t.is(requests.findParent(arrived('y', 701, 'other'), NOW_MS), null);
  requests.end(parent);
  if (found !== null)
    requests.recordEnded({ parent: found, service: 's', answered: true, elapsedMs: 9, targetMs: 99 });
  t.is(requests.counters.mistaken, 1);
});

test('a deadline that several running requests share identifies none of them, and is counted', (t) => {
  const requests = new RunningRequests();
  requests.begin(running('a'));
  learnByDeadline(requests);
  requests.begin(running('b', { deadlineMs: NOW_MS + 702 }));
  t.is(requests.findParent(arrived('y', 701), NOW_MS), null);
  t.is(requests.counters.ambiguous, 1);
});

test('an impossible field is unreadable, and a missing one is not', (t) => {
  t.is(readNested(undefined).unwrap(), null);
  t.deepEqual(readNested({ priority: 100, remainingMs: 0 }).unwrap(), { priority: 100, remainingMs: 0 });
  const times = [NaN, Infinity, -1, '5', null].map((remainingMs) => ({ priority: 0, remainingMs }));
  const priorities = [-1, 0.5, 101, NaN, '0', null].map((priority) => ({ priority, remainingMs: 5 }));
  for (const field of [null, 1, 'x', {}, [], ...times, ...priorities]) t.true(readNested(field).err);
});

test('a call is in time while its parent has time', (t) => {
  const limits = { remainingMs: 628, patienceMs: 60, targetLeftMs: 262, spentMs: 40 };
  t.like(limitsOfCall(limits, { priority: 0, remainingMs: 2_000 }), { targetLeftMs: 628, spentMs: 0 });
  t.like(limitsOfCall(limits, { priority: 0, remainingMs: 100 }), { remainingMs: 628, targetLeftMs: 100 });
});
