/** A host process of hollow daemons, as its driver sees it. */
import { fork, type ChildProcess } from 'node:child_process';
import type { HollowAnswer, HollowHostSettings, HollowReading, HollowRequest } from './hollow-options.js';

/** A host that was started by this process. */
export class HollowProcess {
  private readonly child: ChildProcess;
  private readonly waiting: ((answer: HollowAnswer) => void)[] = [];

  constructor(labProgram: string) {
    this.child = fork(labProgram, ['hollow-host'], { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] });
    this.child.on('message', (answer: HollowAnswer) => {
      this.waiting.shift()?.(answer);
    });
  }

  /** Starts the daemons. */
  async start(settings: HollowHostSettings): Promise<void> {
    await this.ask({ kind: 'start', settings });
  }

  /** Reads what was counted since the last reading, and since the start where sums are given. */
  async read(): Promise<HollowReading> {
    const answer = await this.ask({ kind: 'read' });
    if (answer.kind !== 'reading') throw new Error('invariant broken: the host answered out of order');
    return answer.reading;
  }

  /** Tells the host something that it does not answer. */
  tell(request: HollowRequest): void {
    this.child.send(request);
  }

  /** Ends the process. */
  kill(): void {
    this.child.kill('SIGKILL');
  }

  private async ask(request: HollowRequest): Promise<HollowAnswer> {
    return await new Promise((resolve) => {
      this.waiting.push(resolve);
      this.child.send(request);
    });
  }
}
