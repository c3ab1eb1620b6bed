/** `aldertide check` on deployment files of the repository and on an invalid file. */
import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import test from 'ava';

const run = promisify(execFile);

interface Checked {
  readonly code: number;
  readonly output: string;
}

async function check(file: string): Promise<Checked> {
  try {
    const { stdout } = await run(process.execPath, ['bin/aldertide.mjs', 'check', file]);
    return { code: 0, output: stdout };
  } catch (error) {
    const failed = error as { code: number; stdout: string };
    return { code: failed.code, output: failed.stdout };
  }
}

for (const file of ['deployments/imigongo.yaml', 'deployments/antwerp.yaml']) {
  test(`${file} is accepted`, async (t) => {
    t.deepEqual(await check(file), { code: 0, output: `${file}: ok\n` });
  });
}

test('all problems of a configuration are reported at once, with line and field', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'aldertide-'));
  const file = join(folder, 'bad.yaml');
  await writeFile(file, 'version: 2\nservices:\n  stock:\n    division: odd\n');
  const { code, output } = await check(file);
  t.is(code, 1);
  t.regex(output, /bad\.yaml:1: version/);
  t.regex(output, /bad\.yaml:4: services\.stock\.division/);
  await rm(folder, { recursive: true });
});
