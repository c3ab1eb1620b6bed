/** HTTP API of a control replica for operators; see docs/OPERATIONS.md. Errors are problem+json. */
import 'reflect-metadata';
import {
  Body,
  Controller,
  Delete,
  Get,
  HttpException,
  Inject,
  Module,
  Param,
  Put,
  UseGuards,
  type CanActivate,
  type ExecutionContext,
} from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter, type NestFastifyApplication } from '@nestjs/platform-fastify';
import type { FastifyReply, FastifyRequest } from 'fastify';
import type { Registry } from 'prom-client';
import { z } from 'zod';
import { configurationSchema } from '../config/configuration.js';
import { createProcessMemory } from '../runtime/client-memory.js';
import { registerBodyParser } from './operator-body.js';
import type { SocketAddress } from '../model/socket-address.js';
import { Err, Ok, type Result } from '../result.js';
import { managementModule } from '../telemetry/management.js';
import { sameSecret } from '../transport/hello.js';
import type { CommandOutcome, ControlCommand } from './commands.js';
import { reportCrashes, type CrashReport } from '../quarantine/crash-report.js';
import type { ControlNode } from './control-node.js';
import { describeStatus, type ControlStatus } from './control-status.js';
import { describeState, type StateDocument } from './state-snapshot.js';
import type { ConfigurationRevision } from './control-state.js';

const NODE = Symbol('ControlNode');
const TOKEN = Symbol('Token');

const BEARER = 'Bearer ';

/** Time in ms within which a call must have arrived with its body. */
const CALL_TIMEOUT_MS = 60_000;

const submissionSchema = z.strictObject({
  submissionId: z.string().min(1).max(200),
  baseRevision: z.number().int().min(0),
  document: configurationSchema,
});

/** Problem codes and their HTTP status. */
const PROBLEM_STATUS = {
  invalid: 400,
  unauthorized: 401,
  refused: 409,
  conflict: 409,
  'not-leader': 421,
  'outcome-unknown': 504,
} as const;

type ProblemCode = keyof typeof PROBLEM_STATUS;

class Problem extends HttpException {
  constructor(code: ProblemCode, detail: string, extra: object = {}) {
    const status = PROBLEM_STATUS[code];
    super({ type: `urn:aldertide:problem:${code}`, code, title: code, status, detail, ...extra }, status);
  }
}

function hasToken({ headers }: FastifyRequest, token: string): boolean {
  const authorization = headers.authorization ?? '';
  return authorization.startsWith(BEARER) && sameSecret(authorization.slice(BEARER.length), token);
}

class TokenGuard implements CanActivate {
  constructor(@Inject(TOKEN) private readonly token: string) {}

  canActivate(context: ExecutionContext): boolean {
    if (hasToken(context.switchToHttp().getRequest<FastifyRequest>(), this.token)) return true;
    throw new Problem('unauthorized', 'the shared token is missing or wrong');
  }
}

@Controller('v1')
@UseGuards(TokenGuard)
class OperatorController {
  constructor(@Inject(NODE) private readonly node: ControlNode) {}

  @Get('configuration')
  configuration(): ConfigurationRevision {
    this.requireLeader();
    return this.node.state.configuration;
  }

  @Put('configuration')
  async configure(@Body() body: unknown): Promise<{ revision: number }> {
    const parsed = submissionSchema.safeParse(body);
    if (!parsed.success) throw new Problem('invalid', z.prettifyError(parsed.error));
    const outcome = await this.run({ kind: 'configure', ...parsed.data });
    if (outcome.kind === 'configured') return { revision: outcome.revision };
    if (outcome.kind === 'conflict') {
      const { presentRevision, baseRevision } = outcome;
      const detail = `the change was made on revision ${baseRevision}, but ${presentRevision} is in force`;
      throw new Problem('conflict', detail, { presentRevision, baseRevision });
    }
    throw new Problem('refused', outcome.kind === 'refused' ? outcome.detail : outcome.kind);
  }

  @Get('status')
  status(): ControlStatus {
    return describeStatus(this.node);
  }

  @Get('snapshot')
  snapshot(): StateDocument {
    this.requireLeader();
    return describeState(this.node.state, this.node.loadsByService());
  }

  @Put('backends/:name/drain')
  async drain(@Param('name') backend: string): Promise<{ draining: boolean }> {
    return await this.setDraining(backend, true);
  }

  @Delete('backends/:name/drain')
  async undrain(@Param('name') backend: string): Promise<{ draining: boolean }> {
    return await this.setDraining(backend, false);
  }

  @Put('zones/:zone/evacuation')
  async evacuate(@Param('zone') zone: string): Promise<{ zone: string; evacuated: boolean }> {
    return await this.setEvacuation(zone, true);
  }

  @Delete('zones/:zone/evacuation')
  async endEvacuation(@Param('zone') zone: string): Promise<{ zone: string; evacuated: boolean }> {
    return await this.setEvacuation(zone, false);
  }

  @Get('quarantine')
  quarantine(): CrashReport[] {
    this.requireLeader();
    return reportCrashes(this.node.state.crashRecords.values());
  }

  @Put('quarantine/:fingerprint/reopen')
  async reopen(@Param('fingerprint') fingerprint: string): Promise<{ reopened: string }> {
    await this.changeQuarantine({ kind: 'reopen-request', fingerprint, by: 'operator' });
    return { reopened: fingerprint };
  }

  @Delete('quarantine/:fingerprint')
  async forget(@Param('fingerprint') fingerprint: string): Promise<{ forgotten: string }> {
    await this.changeQuarantine({ kind: 'forget-request', fingerprint });
    return { forgotten: fingerprint };
  }

  private async changeQuarantine(command: ControlCommand): Promise<void> {
    const outcome = await this.run(command);
    if (outcome.kind === 'refused') throw new Problem('refused', outcome.detail);
  }

  private async setDraining(backend: string, draining: boolean): Promise<{ draining: boolean }> {
    const outcome = await this.run({ kind: 'set-drain', backend, draining });
    if (outcome.kind === 'refused') throw new Problem('refused', outcome.detail);
    return { draining };
  }

  private async setEvacuation(
    zone: string,
    evacuated: boolean,
  ): Promise<{ zone: string; evacuated: boolean }> {
    const outcome = await this.run({ kind: 'set-evacuation', zone, evacuated });
    if (outcome.kind === 'refused') throw new Problem('refused', outcome.detail);
    return { zone, evacuated };
  }

  private async run(command: ControlCommand): Promise<CommandOutcome> {
    const result = await this.node.propose(command);
    if (result.ok) return result.val;
    if (result.val.kind === 'not-leader') throw this.notLeader();
    throw new Problem('outcome-unknown', 'ask again; a resend under the same submission id is safe');
  }

  private requireLeader(): void {
    if (!this.node.leading) throw this.notLeader();
  }

  private notLeader(): Problem {
    return new Problem('not-leader', 'this replica does not lead', { leader: this.node.leaderName });
  }
}

@Module({})
class OperatorModule {}

/** A running operator API. */
export class OperatorApi {
  private constructor(private readonly application: NestFastifyApplication) {}

  /** Starts listening. */
  static async start(
    node: ControlNode,
    token: string,
    registry: Registry,
    address: SocketAddress,
  ): Promise<Result<OperatorApi, string>> {
    const notReady = (): string | null => (node.isCurrent ? null : 'no leader is known');
    const root = {
      module: OperatorModule,
      imports: [managementModule({ registry, notReady })],
      controllers: [OperatorController],
      providers: [
        { provide: NODE, useValue: node },
        { provide: TOKEN, useValue: token },
      ],
    };
    const adapter = new FastifyAdapter({ requestTimeout: CALL_TIMEOUT_MS });
    const application = await NestFactory.create<NestFastifyApplication>(root, adapter, {
      logger: false,
      bodyParser: false,
    });
    registerBodyParser(adapter.getInstance(), createProcessMemory().clients, (request) =>
      hasToken(request, token),
    );
    setProblemContentType(adapter);
    try {
      await application.listen(address.port, address.host);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      return Err(`cannot listen on ${address.host}:${address.port}: ${detail}`);
    }
    return Ok(new OperatorApi(application));
  }

  /** Stops listening. */
  async stop(): Promise<void> {
    await this.application.close();
  }
}

const MIN_ERROR_STATUS = 400;

function setProblemContentType(adapter: FastifyAdapter): void {
  adapter.getInstance().addHook('onSend', (_request: FastifyRequest, reply: FastifyReply, payload, done) => {
    if (reply.statusCode >= MIN_ERROR_STATUS) void reply.header('content-type', 'application/problem+json');
    done(null, payload);
  });
}
