/** Health and metrics of a daemon over HTTP: `/healthz`, `/readyz`, `/metrics`. */
import { Controller, Get, Inject, Module, Res, type DynamicModule } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import type { Registry } from 'prom-client';

/** Source of a daemon's health and metrics. */
export interface ManagementSource {
  readonly registry: Registry;
  /** Reason why the daemon is not ready; null if it is. */
  readonly notReady: () => string | null;
}

const SOURCE = Symbol('ManagementSource');

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

@Controller()
class ManagementController {
  constructor(@Inject(SOURCE) private readonly source: ManagementSource) {}

  @Get(['healthz', '-/healthz'])
  health(): { status: string } {
    return { status: 'ok' };
  }

  @Get(['readyz', '-/readyz'])
  async ready(@Res() reply: FastifyReply): Promise<void> {
    const reason = this.source.notReady();
    const status = reason === null ? HTTP_OK : HTTP_UNAVAILABLE;
    await reply.status(status).send({ status: reason === null ? 'ready' : 'not-ready', reason });
  }

  @Get(['metrics', '-/metrics'])
  async metrics(@Res() reply: FastifyReply): Promise<void> {
    const text = await this.source.registry.metrics();
    await reply.header('content-type', this.source.registry.contentType).send(text);
  }
}

@Module({})
class ManagementModule {}

/** Creates a Nest module that serves a daemon's health and metrics. */
export function managementModule(source: ManagementSource): DynamicModule {
  return {
    module: ManagementModule,
    controllers: [ManagementController],
    providers: [{ provide: SOURCE, useValue: source }],
  };
}
