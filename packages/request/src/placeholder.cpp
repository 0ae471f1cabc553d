namespace plantaindoor::request {
}
