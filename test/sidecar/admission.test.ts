/** Admission control: slots of a back end and the queue for them. */
import test from 'ava';
import { Admission, type SlotRequest } from '../../src/sidecar/admission.js';

class Recorder {
  readonly log: string[] = [];

  request(name: string, priority = 1, expiresMs = 1_000, reserve = 0): SlotRequest {
    return {
      priority,
      order: 0,
      reserve,
      expiresMs,
      start: () => this.log.push(`start ${name}`),
      expire: () => this.log.push(`expire ${name}`),
    };
  }
}

test('no more requests run than there are slots, and the highest priority goes next', (t) => {
  const admission = new Admission(1);
  const recorder = new Recorder();
  admission.apply(recorder.request('a'), 0);
  admission.apply(recorder.request('b', 2), 0);
  admission.apply(recorder.request('c', 0), 0);
  t.deepEqual(recorder.log, ['start a']);
  admission.leave(10);
  admission.leave(10);
  t.deepEqual(recorder.log, ['start a', 'start c', 'start b']);
});

test('a request whose expected wait is too long expires at once', (t) => {
  const admission = new Admission(1);
  const recorder = new Recorder();
  admission.apply(recorder.request('a'), 0);
  admission.apply(recorder.request('b', 1, 1), 0);
  t.deepEqual(recorder.log, ['start a', 'expire b']);
});

test('a queued request expires when its time has passed, and a withdrawn one never starts', (t) => {
  const admission = new Admission(1);
  const recorder = new Recorder();
  const withdrawn = recorder.request('c');
  admission.apply(recorder.request('a'), 0);
  admission.apply(recorder.request('b', 1, 500), 0);
  admission.apply(withdrawn, 0);
  admission.expireBefore(500);
  admission.withdraw(withdrawn);
  admission.leave(10);
  t.deepEqual(recorder.log, ['start a', 'expire b']);
  t.is(admission.runningCount, 0);
});

test('more slots let more requests start', (t) => {
  const admission = new Admission(1);
  const recorder = new Recorder();
  admission.apply(recorder.request('a'), 0);
  admission.apply(recorder.request('b'), 0);
  admission.resize(2);
  t.deepEqual(recorder.log, ['start a', 'start b']);
});

test('a request with a reserve starts only when that many slots stay free, and blocks no others', (t) => {
  const admission = new Admission(3);
  const recorder = new Recorder();
  admission.apply(recorder.request('a'), 0);
  admission.apply(recorder.request('b'), 0);
  admission.apply(recorder.request('late', 0, 1_000, 1), 0);
  t.deepEqual(recorder.log, ['start a', 'start b']);
  admission.apply(recorder.request('c'), 0);
  t.deepEqual(recorder.log, ['start a', 'start b', 'start c']);
  admission.leave(10);
  t.is(admission.runningCount, 2);
  admission.leave(10);
  t.deepEqual(recorder.log.slice(3), ['start late']);
});

test('at a limited rate, a queued request expires as soon as others have taken its last turn', (t) => {
  const admission = new Admission(2, {
    delayMs: (ahead) => 100 + ahead * 250,
    pace: () => 1,
    callReserve: () => 0,
    remainingRunsMs: () => [],
  });
  const recorder = new Recorder();
  admission.apply(recorder.request('a', 2, 400), 0);
  admission.apply(recorder.request('b', 2, 400), 0);
  t.deepEqual(recorder.log, []);
  admission.apply(recorder.request('c', 1, 400), 0);
  t.deepEqual(recorder.log, ['expire b']);
  t.is(admission.waitingCount, 2);
});

test('a request that starts while others expire does not expire as well', (t) => {
  let delayMs = 10;
  const admission = new Admission(2, {
    delayMs: () => delayMs,
    pace: () => 1,
    callReserve: () => 0,
    remainingRunsMs: () => [],
  });
  const recorder = new Recorder();
  const retrying: SlotRequest = {
    ...recorder.request('a', 1, 50),
    expire: () => {
      delayMs = 0;
      admission.apply(recorder.request('a again', 1, 500), 60);
    },
  };
  admission.apply(retrying, 0);
  admission.apply(recorder.request('b', 2, 50), 0);
  admission.expireBefore(60);
  t.deepEqual(recorder.log, ['start b', 'start a again']);
});
