/** When requests to a back end that names a limit break the rule. */
import test from 'ava';
import { RequestLimitRule } from '../../../lab/soak/request-limit-rule.js';

class World {
  readonly reported: string[] = [];
  readonly rule = new RequestLimitRule((_atMs, detail) => this.reported.push(detail));

  /** Lets requests arrive every `everyMs`. */
  arrive(fromMs: number, untilMs: number, everyMs: number): void {
    for (let atMs = fromMs; atMs < untilMs; atMs += everyMs) this.rule.arrived('a', atMs);
  }
}

test('requests within one and a half times the limit and five more are allowed', (t) => {
  const world = new World();
  world.rule.stated('a', 4, 0);
  world.rule.told('a', 4, 0);
  world.arrive(500, 10_000, 150);
  t.is(world.reported.length, 0);
  world.arrive(10_000, 14_000, 100);
  t.regex(world.reported[0] ?? '', /limit of 4 a second and got 30 requests in 4000 ms; allowed 29/);
});

test('requests before a caller was told, and in the half second after that, are not counted', (t) => {
  const world = new World();
  world.rule.stated('a', 0.5, 0);
  world.arrive(0, 5_000, 10);
  world.rule.told('a', 0.5, 5_000);
  world.arrive(5_000, 5_500, 10);
  world.arrive(5_500, 9_500, 500);
  t.deepEqual(world.reported, []);
  world.rule.arrived('a', 9_400);
  t.is(world.reported.length, 1);
});

test('a raised limit counts at once, a lowered one half a second after a caller was told', (t) => {
  const world = new World();
  world.rule.stated('a', 2, 0);
  world.rule.told('a', 2, 0);
  world.rule.stated('a', 20, 1_000);
  world.arrive(1_000, 6_000, 50);
  t.deepEqual(world.reported, []);
  world.rule.stated('a', 0, 6_000);
  world.arrive(6_000, 6_400, 50);
  world.rule.told('a', 0, 6_400);
  world.arrive(6_400, 6_900, 50);
  t.deepEqual(world.reported, []);
  world.arrive(6_900, 7_200, 50);
  t.is(world.reported.length, 1);
});

test('nothing counts after the limit is lifted, and an answer with an earlier limit changes nothing', (t) => {
  const world = new World();
  world.rule.stated('a', 0, 0);
  world.rule.told('a', 0, 0);
  world.rule.stated('a', null, 2_000);
  world.rule.told('a', 0, 2_010);
  world.arrive(2_600, 6_000, 10);
  t.deepEqual(world.reported, []);
});

test('another incarnation is not limited', (t) => {
  const world = new World();
  world.rule.stated('b', 0, 0);
  world.rule.told('b', 0, 0);
  world.arrive(1_000, 5_000, 10);
  t.deepEqual(world.reported, []);
});
