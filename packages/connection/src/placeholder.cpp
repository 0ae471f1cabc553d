namespace plantaindoor::connection {
}
