/**
 * Directories whose log and messages were bounded by a count of changes: large changes in series, refused ones, or one member
 * that was behind made them run out of memory, each again after its restart, until no change was acknowledged.
 */
import test, { type ExecutionContext } from 'ava';
import { Random } from '../../lab/random.js';
import { ConfigurationOperator, PlayError, type ConfigurationShape } from './configuration-operator.js';
import { DirectoryGroup, type GroupMember } from './directory-group.js';

const BYTES_PER_MB = 1024 * 1024;

/** Maximum resident memory of a directory in bytes: half of its machine. */
const MAX_RESIDENT_BYTES = 173 * BYTES_PER_MB;

/** Changes between two reads of the configuration. */
const CHANGES_PER_READ = 25;

/** Time limit of one play in ms. */
const PLAY_TIMEOUT_MS = 115_000;

/** The objects of one play. */
interface Play {
  readonly group: DirectoryGroup;
  readonly operator: ConfigurationOperator;
  readonly random: Random;
}

/** A configuration of about 350 routes, whose text has 140 to 160 KB. */
function usualShape(random: Random): ConfigurationShape {
  return { routes: 340 + random.below(20), notesLength: 225 + random.below(30) };
}

/** A configuration of about 1,400 routes, whose text has about 570 KB. */
function largeShape(random: Random): ConfigurationShape {
  return { routes: 1_390 + random.below(20), notesLength: 225 + random.below(10) };
}

/** Plays on a new group; a play ends early when a process has ended or the operator got no answer. */
async function onGroup(
  t: ExecutionContext,
  seed: number,
  shapeOf: (random: Random) => ConfigurationShape,
  play: (play: Play) => Promise<void>,
): Promise<void> {
  t.timeout(PLAY_TIMEOUT_MS);
  const random = new Random(seed);
  const group = new DirectoryGroup();
  t.teardown(async () => {
    await group.down();
  });
  group.start();
  const operator = new ConfigurationOperator(group.addresses, shapeOf(random), seed);
  const problem = await problemOf(async () => {
    await play({ group, operator, random });
    await operator.checkVersion();
  });
  report(t, seed, group, operator);
  t.is(problem, null);
  t.is(group.ends, 0, 'processes ended by themselves');
  const peakBytes = Math.max(...group.members.map((member) => member.peakBytes));
  t.true(peakBytes < MAX_RESIDENT_BYTES, `a directory needed ${peakBytes} bytes`);
}

async function problemOf(play: () => Promise<void>): Promise<string | null> {
  try {
    await play();
    return null;
  } catch (error) {
    if (error instanceof PlayError) return error.message;
    throw error;
  }
}

function report(
  t: ExecutionContext,
  seed: number,
  group: DirectoryGroup,
  { counts }: ConfigurationOperator,
): void {
  t.log(JSON.stringify({ seed, ...counts, longestMs: Math.round(counts.longestMs) }));
  for (const { name, ends, peakBytes } of group.members) {
    t.log(`${name}: ${ends} ends, peak ${Math.round(peakBytes / BYTES_PER_MB)} MB`);
  }
}

/** Makes changes until `count` are acknowledged or a process has ended, and reads some of them back. */
async function replaceOften({ group, operator }: Play, count: number): Promise<void> {
  for (let made = 1; made <= count && group.ends === 0; made += 1) {
    await operator.replace();
    if (made % CHANGES_PER_READ === 0) await operator.checkVersion();
  }
}

/** Makes the first changes, then returns the member that a seed picks. */
async function pickMember(play: Play): Promise<GroupMember> {
  await replaceOften(play, 3);
  return play.random.pick(play.group.members);
}

test.serial('a long series of large changes, seed 1', async (t) => {
  await onGroup(t, 1, usualShape, async (play) => {
    await replaceOften(play, 500);
  });
});

test.serial('a long series of large changes on a base that was replaced, seed 2', async (t) => {
  await onGroup(t, 2, usualShape, async (play) => {
    const { group, operator } = play;
    await replaceOften(play, 5);
    for (let sent = 0; sent < 500 && group.ends === 0; sent += 1) await operator.replaceStale();
  });
});

test.serial('a member that is suspended during large changes, seed 3', async (t) => {
  await onGroup(t, 3, usualShape, async (play) => {
    const behind = await pickMember(play);
    play.group.suspend(behind);
    await replaceOften(play, 220);
    play.group.resume(behind);
    await play.group.untilApplied(behind, play.operator.version);
    await replaceOften(play, 10);
  });
});

for (const [seed, losesData] of [
  [4, false],
  [5, true],
] as const) {
  const disk = losesData ? 'comes back with an empty disk' : 'comes back with its data';
  test.serial(`a member that is killed and ${disk} after large changes, seed ${seed}`, async (t) => {
    await onGroup(t, seed, usualShape, async (play) => {
      const behind = await pickMember(play);
      await play.group.kill(behind);
      await replaceOften(play, 220);
      play.group.restart(behind, losesData);
      await play.group.untilApplied(behind, play.operator.version);
      await replaceOften(play, 10);
    });
  });
}

test.serial('a group that is killed and starts from the log of large changes, seed 6', async (t) => {
  await onGroup(t, 6, usualShape, async (play) => {
    await replaceOften(play, 300);
    const { group } = play;
    await Promise.all(group.members.map(async (member) => await group.kill(member)));
    for (const member of group.members) group.restart(member);
    await play.operator.checkVersion();
    await replaceOften(play, 10);
  });
});

test.serial('a member that is suspended during large changes of half a megabyte, seed 7', async (t) => {
  await onGroup(t, 7, largeShape, async (play) => {
    const behind = await pickMember(play);
    play.group.suspend(behind);
    await replaceOften(play, 30);
    play.group.resume(behind);
    await play.group.untilApplied(behind, play.operator.version);
  });
});

test.serial('two members that fall behind at different places of large changes, seed 8', async (t) => {
  await onGroup(t, 8, largeShape, async (play) => {
    const { group, operator } = play;
    const first = await pickMember(play);
    const others = group.members.filter((member) => member !== first);
    const second = play.random.pick(others);
    group.suspend(first);
    await replaceOften(play, 15);
    await group.kill(second);
    await replaceOften(play, 15);
    group.resume(first);
    group.restart(second);
    for (const behind of [first, second]) await group.untilApplied(behind, operator.version);
  });
});
